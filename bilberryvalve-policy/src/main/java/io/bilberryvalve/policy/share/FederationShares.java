package io.bilberryvalve.policy.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.VmId;

/**
 * Divides the streams of the federation among clubs, teams and entries by
 * {@link WeightedMaxMin}. The result depends only on the weights, the reports and the
 * number of streams, so that all entries with the same reports agree. The unit is a
 * stream. The weight of a club or team is divided by the token cost per second of one of
 * its streams, so that token cost is shared by weight and not the number of streams.
 */
final class FederationShares {

	// Stream time for which the average of all teams is added to the history of a club or
	// team, so that one with little history has a plausible rate.
	private static final double PRIOR_SECONDS = 10;

	private final ShareWeights weights;

	private final double averageRate;

	private final Map<ClubId, List<ClubAtEntry>> clubs = new TreeMap<>();

	private final Set<ClubId> limited = new TreeSet<>();

	private final Map<VmId, EntryShares> shares = new TreeMap<>();

	/**
	 * Divides streams among the clubs and teams of the reports.
	 * @param weights configured weights of clubs and teams
	 * @param entries one report of each entry
	 * @param streams number of streams to divide
	 */
	FederationShares(ShareWeights weights, List<EntryDemand> entries, double streams) {
		this.weights = weights;
		for (EntryDemand entry : entries) {
			this.shares.put(entry.origin(), new EntryShares());
			for (ClubDemand club : entry.clubs()) {
				this.clubs.computeIfAbsent(club.club(), (key) -> new ArrayList<>())
					.add(new ClubAtEntry(entry.origin(), club));
			}
		}
		this.averageRate = costPerStreamSecond(
				this.clubs.values().stream().flatMap(List::stream).flatMap(ClubAtEntry::teams).toList(), 1);
		divide(streams);
	}

	/**
	 * Returns the streams of an entry.
	 * @param entry the VM of an entry with a report
	 * @return the number of streams that the clubs get at the entry, at most their demand
	 */
	double streams(VmId entry) {
		return this.shares.get(entry).streams;
	}

	/**
	 * Returns the streams at an entry of each club that gets less than it needs in the
	 * federation.
	 * @param entry the VM of an entry with a report
	 * @return the streams at the entry, by club
	 */
	Map<ClubId, Double> limitedClubs(VmId entry) {
		Map<ClubId, Double> result = new TreeMap<>();
		this.limited.forEach((club) -> result.put(club, this.shares.get(entry).clubs.getOrDefault(club, 0.0)));
		return result;
	}

	/**
	 * Returns the rates of clubs and teams at an entry.
	 * @param entry the VM of an entry with a report
	 * @return the rates in tokens per second
	 */
	ShareRates rates(VmId entry) {
		EntryShares own = this.shares.get(entry);
		Map<ClubId, Double> clubs = new HashMap<>();
		Map<ClubId, Double> configured = new HashMap<>();
		own.teamRates.forEach((team, rate) -> {
			clubs.merge(team.club(), rate, Double::sum);
			configured.merge(team.club(), this.weights.teamWeight(team), Double::sum);
		});
		Map<ClubId, Double> teamRatios = new HashMap<>();
		clubs.forEach((club, rate) -> teamRatios.put(club, rate / configured.get(club)));
		double clubWeights = clubs.keySet().stream().mapToDouble(this.weights::clubWeight).sum();
		double total = clubs.values().stream().mapToDouble(Double::doubleValue).sum();
		return new ShareRates(clubs, own.teamRates, (clubWeights > 0) ? total / clubWeights : 1, teamRatios);
	}

	private void divide(double streams) {
		List<ClubId> clubs = List.copyOf(this.clubs.keySet());
		double[] demands = new double[clubs.size()];
		double[] clubWeights = new double[clubs.size()];
		for (int i = 0; i < demands.length; i++) {
			List<ClubAtEntry> all = this.clubs.get(clubs.get(i));
			demands[i] = all.stream().mapToDouble((part) -> part.club().streams()).sum();
			clubWeights[i] = this.weights.clubWeight(clubs.get(i))
					/ costPerStreamSecond(all.stream().flatMap(ClubAtEntry::teams).toList(), this.averageRate);
		}
		double[] allocation = WeightedMaxMin.divide(streams, demands, clubWeights);
		for (int i = 0; i < demands.length; i++) {
			if (allocation[i] < demands[i]) {
				this.limited.add(clubs.get(i));
			}
			divideClub(clubs.get(i), allocation[i], demands[i]);
		}
	}

	private void divideClub(ClubId club, double allocation, double demand) {
		Map<TeamId, List<TeamAtEntry>> teams = new TreeMap<>();
		for (ClubAtEntry part : this.clubs.get(club)) {
			for (TeamDemand team : part.club().teams()) {
				teams.computeIfAbsent(team.team(), (key) -> new ArrayList<>()).add(new TeamAtEntry(part.entry(), team));
			}
		}
		List<TeamId> ids = List.copyOf(teams.keySet());
		double[] demands = new double[ids.size()];
		double[] rates = new double[ids.size()];
		double[] teamWeights = new double[ids.size()];
		for (int i = 0; i < demands.length; i++) {
			List<TeamDemand> teamEntries = teams.get(ids.get(i)).stream().map(TeamAtEntry::demand).toList();
			demands[i] = teamEntries.stream().mapToDouble(TeamDemand::streams).sum();
			rates[i] = costPerStreamSecond(teamEntries, this.averageRate);
			teamWeights[i] = this.weights.teamWeight(new TeamKey(club, ids.get(i))) / rates[i];
		}
		double[] divided = WeightedMaxMin.divide(allocation, demands, teamWeights);
		double used = 0;
		for (int i = 0; i < demands.length; i++) {
			used += divided[i];
			divideTeamAmongEntries(new TeamKey(club, ids.get(i)), divided[i], demands[i], rates[i],
					teams.get(ids.get(i)));
		}
		divideUnusedAmongEntries(club, Math.max(0, allocation - used), demand);
	}

	private void divideTeamAmongEntries(TeamKey team, double allocation, double demand, double rate,
			List<TeamAtEntry> teamEntries) {
		for (TeamAtEntry atEntry : teamEntries) {
			if (atEntry.demand().streams() > 0) {
				double streams = allocation * atEntry.demand().streams() / demand;
				EntryShares entryShares = this.shares.get(atEntry.entry());
				entryShares.add(team.club(), streams);
				entryShares.teamRates.put(team, streams * rate);
			}
		}
	}

	/**
	 * Divides the streams of a club that its teams do not need now among the entries, in
	 * proportion to the club's demand there.
	 * @param club club that got the streams
	 * @param unused streams that the teams do not need
	 * @param demand streams that the club needs at all entries
	 */
	private void divideUnusedAmongEntries(ClubId club, double unused, double demand) {
		if (demand > 0) {
			this.clubs.get(club)
				.forEach((part) -> this.shares.get(part.entry()).add(club, unused * part.club().streams() / demand));
		}
	}

	/**
	 * Returns the token cost per second of a stream.
	 * @param teams demand of the teams, with their recent cost and stream time
	 * @param prior rate that counts as if it had been observed for
	 * {@link #PRIOR_SECONDS}, in tokens per second
	 * @return tokens per second, at least 0.001
	 */
	private static double costPerStreamSecond(Collection<TeamDemand> teams, double prior) {
		double cost = teams.stream().mapToDouble(TeamDemand::recentCost).sum();
		double seconds = teams.stream().mapToDouble(TeamDemand::recentStreamSeconds).sum();
		return Math.max(1e-3, (cost + prior * PRIOR_SECONDS) / (seconds + PRIOR_SECONDS));
	}

	private record ClubAtEntry(VmId entry, ClubDemand club) {

		Stream<TeamDemand> teams() {
			return this.club.teams().stream();
		}

	}

	private record TeamAtEntry(VmId entry, TeamDemand demand) {

	}

	private static final class EntryShares {

		private final Map<TeamKey, Double> teamRates = new HashMap<>();

		private final Map<ClubId, Double> clubs = new HashMap<>();

		private double streams;

		void add(ClubId club, double more) {
			this.streams += more;
			this.clubs.merge(club, more, Double::sum);
		}

	}

}
