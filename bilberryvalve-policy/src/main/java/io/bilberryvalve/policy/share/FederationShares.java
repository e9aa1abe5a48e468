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
 * Divides the streams of the federation among clubs, teams and entries. The result is a
 * function of the reports only, so that all entries with the same reports agree. The unit
 * is a stream; the weight of a claimant is divided by its token cost per second of a
 * stream, so that the token cost is shared by weight and not the number of streams.
 */
final class FederationShares {

	// Time with which the average of all teams counts in the rate of a team, so that a
	// team with little history has a plausible rate.
	private static final double PRIOR_SECONDS = 10;

	private final ShareWeights weights;

	private final double averageRate;

	private final Map<ClubId, List<ClubAtEntry>> clubs = new TreeMap<>();

	private final Set<ClubId> limited = new TreeSet<>();

	private final Map<VmId, EntryShares> shares = new TreeMap<>();

	/**
	 * Divides streams.
	 * @param weights the weights
	 * @param entries one report of each entry
	 * @param streams number of streams
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
	 * @param entry the entry
	 * @return the number of streams that its clubs need and get
	 */
	double streams(VmId entry) {
		return this.shares.get(entry).streams;
	}

	/**
	 * Returns the streams at an entry of each club that gets less than it needs.
	 * @param entry the entry
	 * @return the streams of these clubs
	 */
	Map<ClubId, Double> limitedClubs(VmId entry) {
		Map<ClubId, Double> result = new TreeMap<>();
		this.limited.forEach((club) -> result.put(club, this.shares.get(entry).clubs.getOrDefault(club, 0.0)));
		return result;
	}

	/**
	 * Returns the rates of clubs and teams at an entry.
	 * @param entry the entry
	 * @return the rates
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
			List<TeamDemand> places = teams.get(ids.get(i)).stream().map(TeamAtEntry::demand).toList();
			demands[i] = places.stream().mapToDouble(TeamDemand::streams).sum();
			rates[i] = costPerStreamSecond(places, this.averageRate);
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
			List<TeamAtEntry> places) {
		for (TeamAtEntry place : places) {
			if (place.demand().streams() > 0) {
				double streams = allocation * place.demand().streams() / demand;
				EntryShares at = this.shares.get(place.entry());
				at.add(team.club(), streams);
				at.teamRates.put(team, streams * rate);
			}
		}
	}

	/**
	 * Gives what the teams do not use now to the entries in proportion to the club's
	 * demand there.
	 * @param club the club
	 * @param left streams that are left
	 * @param demand streams that the club needs at all entries
	 */
	private void divideUnusedAmongEntries(ClubId club, double left, double demand) {
		if (demand > 0) {
			this.clubs.get(club)
				.forEach((part) -> this.shares.get(part.entry()).add(club, left * part.club().streams() / demand));
		}
	}

	/**
	 * Returns the token cost per second of a stream.
	 * @param teams the teams
	 * @param prior rate that counts as if it had been observed for a while
	 * @return tokens per second, positive
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
