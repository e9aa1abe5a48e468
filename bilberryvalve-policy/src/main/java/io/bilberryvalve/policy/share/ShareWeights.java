package io.bilberryvalve.policy.share;

import java.util.Map;

import io.bilberryvalve.model.ClubId;

/**
 * Configured weights of clubs and teams. Immutable.
 *
 * @param clubs guaranteed share of each club in percent
 * @param teams weight of each team within its club
 */
public record ShareWeights(Map<ClubId, Double> clubs, Map<TeamKey, Double> teams) {

	// A club without a share may use the capacity that the others leave, but has almost
	// no weight.
	private static final double MIN_WEIGHT = 0.01;

	/**
	 * Copies the maps.
	 */
	public ShareWeights {
		clubs = Map.copyOf(clubs);
		teams = Map.copyOf(teams);
	}

	/**
	 * Returns the weight of a club.
	 * @param club a club, configured or not
	 * @return its guaranteed share in percent, at least 0.01
	 */
	public double clubWeight(ClubId club) {
		return Math.max(MIN_WEIGHT, this.clubs.getOrDefault(club, MIN_WEIGHT));
	}

	/**
	 * Returns the weight of a team.
	 * @param team a team, configured or not
	 * @return its weight within its club, positive; 1 if it is not configured
	 */
	public double teamWeight(TeamKey team) {
		double weight = this.teams.getOrDefault(team, 1.0);
		return (weight > 0) ? weight : MIN_WEIGHT;
	}

}
