package io.bilberryvalve.policy.share;

import java.util.Map;

import io.bilberryvalve.model.ClubId;

/**
 * Token cost per second that each club and team is entitled to at one entry. The rates
 * are the weights of fair queueing there. A team that uses only this entry has a higher
 * rate here than a team of equal weight that uses all entries.
 *
 * @param clubs rate of each club with demand, in tokens per second
 * @param teams rate of each team with demand, in tokens per second
 * @param clubRatio rate for each unit of configured weight; gives clubs without demand a
 * rate
 * @param teamRatios rate for each unit of configured weight, by club; gives teams without
 * demand a rate
 */
public record ShareRates(Map<ClubId, Double> clubs, Map<TeamKey, Double> teams, double clubRatio,
		Map<ClubId, Double> teamRatios) {

	/** No rates; the configured weights are used as they are. */
	public static final ShareRates NONE = new ShareRates(Map.of(), Map.of(), 1, Map.of());

	// Keeps the weight of a club or team positive when its share is rounded to 0.
	private static final double MIN_RATE = 1e-6;

	/**
	 * Copies the maps.
	 */
	public ShareRates {
		clubs = Map.copyOf(clubs);
		teams = Map.copyOf(teams);
		teamRatios = Map.copyOf(teamRatios);
	}

	double clubRate(ClubId club, ShareWeights weights) {
		Double rate = this.clubs.get(club);
		return Math.max(MIN_RATE, (rate != null) ? rate : weights.clubWeight(club) * this.clubRatio);
	}

	double teamRate(TeamKey team, ShareWeights weights) {
		Double rate = this.teams.get(team);
		double ratio = this.teamRatios.getOrDefault(team.club(), 1.0);
		return Math.max(MIN_RATE, (rate != null) ? rate : weights.teamWeight(team) * ratio);
	}

}
