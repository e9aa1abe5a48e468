package io.bilberryvalve.policy.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
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

	private final List<EntryDemand> entries;

	private final double averageRate;

	private final Map<ClubId, List<Part>> parts = new TreeMap<>();

	/**
	 * Collects reports.
	 * @param weights the weights
	 * @param entries one report of each entry, in the order of their VMs
	 */
	FederationShares(ShareWeights weights, List<EntryDemand> entries) {
		this.weights = weights;
		this.entries = entries;
		for (EntryDemand entry : entries) {
			for (ClubDemand club : entry.clubs()) {
				this.parts.computeIfAbsent(club.club(), (key) -> new ArrayList<>()).add(new Part(entry.origin(), club));
			}
		}
		this.averageRate = rate(this.parts.values().stream().flatMap(List::stream).flatMap(Part::teams).toList(), 1);
	}

	/**
	 * Divides streams.
	 * @param streams number of streams
	 * @return for each entry the streams of each club
	 */
	Map<VmId, Map<ClubId, Double>> divide(double streams) {
		Map<VmId, Map<ClubId, Double>> result = new LinkedHashMap<>();
		this.entries.forEach((entry) -> result.put(entry.origin(), new TreeMap<>()));
		List<ClubId> clubs = List.copyOf(this.parts.keySet());
		double[] demands = new double[clubs.size()];
		double[] clubWeights = new double[clubs.size()];
		for (int i = 0; i < demands.length; i++) {
			List<Part> all = this.parts.get(clubs.get(i));
			demands[i] = all.stream().mapToInt((part) -> part.club().streams()).sum();
			clubWeights[i] = this.weights.club(clubs.get(i))
					/ rate(all.stream().flatMap(Part::teams).toList(), this.averageRate);
		}
		double[] allocation = WeightedMaxMin.divide(streams, demands, clubWeights);
		for (int i = 0; i < demands.length; i++) {
			spread(clubs.get(i), allocation[i], demands[i], result);
		}
		return result;
	}

	private void spread(ClubId club, double allocation, double demand, Map<VmId, Map<ClubId, Double>> result) {
		List<Part> all = this.parts.get(club);
		if (allocation >= demand) {
			all.forEach((part) -> result.get(part.entry()).merge(club, (double) part.club().streams(), Double::sum));
			return;
		}
		Map<TeamId, List<TeamAt>> teams = new TreeMap<>();
		for (Part part : all) {
			part.club()
				.teams()
				.forEach((team) -> teams.computeIfAbsent(team.team(), (key) -> new ArrayList<>())
					.add(new TeamAt(part.entry(), team)));
		}
		Map<TeamId, Double> byTeam = divideTeams(club, allocation, teams);
		teams.forEach((team, places) -> {
			double total = places.stream().mapToInt((place) -> place.demand().streams()).sum();
			if (total > 0) {
				places.forEach((place) -> result.get(place.entry())
					.merge(club, byTeam.get(team) * place.demand().streams() / total, Double::sum));
			}
		});
		addHeadroom(club, allocation, result);
	}

	private Map<TeamId, Double> divideTeams(ClubId club, double allocation, Map<TeamId, List<TeamAt>> teams) {
		List<TeamId> ids = List.copyOf(teams.keySet());
		double[] demands = new double[ids.size()];
		double[] teamWeights = new double[ids.size()];
		for (int i = 0; i < demands.length; i++) {
			List<TeamDemand> places = teams.get(ids.get(i)).stream().map(TeamAt::demand).toList();
			demands[i] = places.stream().mapToInt(TeamDemand::streams).sum();
			teamWeights[i] = this.weights.team(new TeamKey(club, ids.get(i))) / rate(places, this.averageRate);
		}
		double[] divided = WeightedMaxMin.divide(allocation, demands, teamWeights);
		Map<TeamId, Double> result = new HashMap<>();
		for (int i = 0; i < demands.length; i++) {
			result.put(ids.get(i), divided[i]);
		}
		return result;
	}

	/**
	 * Gives what the teams do not use now to the entries in proportion to the club's
	 * demand there.
	 * @param club the club
	 * @param allocation streams of the club
	 * @param result streams by entry and club
	 */
	private void addHeadroom(ClubId club, double allocation, Map<VmId, Map<ClubId, Double>> result) {
		double used = result.values().stream().mapToDouble((clubs) -> clubs.getOrDefault(club, 0.0)).sum();
		List<Part> all = this.parts.get(club);
		double demand = all.stream().mapToInt((part) -> part.club().streams()).sum();
		double left = Math.max(0, allocation - used);
		all.forEach((part) -> result.get(part.entry()).merge(club, left * part.club().streams() / demand, Double::sum));
	}

	/**
	 * Returns the token cost per second of a stream.
	 * @param teams the teams
	 * @param prior rate that counts as if it had been observed for a while
	 * @return tokens per second, positive
	 */
	private static double rate(Collection<TeamDemand> teams, double prior) {
		double cost = teams.stream().mapToDouble(TeamDemand::recentCost).sum();
		double seconds = teams.stream().mapToDouble(TeamDemand::recentStreamSeconds).sum();
		return Math.max(1e-3, (cost + prior * PRIOR_SECONDS) / (seconds + PRIOR_SECONDS));
	}

	private record Part(VmId entry, ClubDemand club) {

		Stream<TeamDemand> teams() {
			return this.club.teams().stream();
		}

	}

	private record TeamAt(VmId entry, TeamDemand demand) {

	}

}
