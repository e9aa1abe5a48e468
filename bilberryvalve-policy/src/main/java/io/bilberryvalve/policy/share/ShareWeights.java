package io.bilberryvalve.policy.share;

import java.util.Map;

import io.bilberryvalve.model.ClubId;

/**
 * Weights of clubs and teams.
 *
 * @param clubs guaranteed share of each club in percent
 * @param teams weight of each team within its club
 */
public record ShareWeights(Map<ClubId, Double> clubs, Map<TeamKey, Double> teams) {

	// A club without a share may use what the others leave, but has almost no weight.
	private static final double MIN_WEIGHT = 0.01;

	/**
	 * Copies the weights.
	 */
	public ShareWeights {
		clubs = Map.copyOf(clubs);
		teams = Map.copyOf(teams);
	}

	/**
	 * Returns the weight of a club.
	 * @param club the club
	 * @return its weight, positive
	 */
	public double clubWeight(ClubId club) {
		return Math.max(MIN_WEIGHT, this.clubs.getOrDefault(club, MIN_WEIGHT));
	}

	/**
	 * Returns the weight of a team.
	 * @param team the team
	 * @return its weight within its club, positive; 1 if it is not configured
	 */
	public double teamWeight(TeamKey team) {
		double weight = this.teams.getOrDefault(team, 1.0);
		return (weight > 0) ? weight : MIN_WEIGHT;
	}

}
