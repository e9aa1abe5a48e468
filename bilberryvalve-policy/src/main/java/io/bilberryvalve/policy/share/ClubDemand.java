package io.bilberryvalve.policy.share;

import java.util.List;

import io.bilberryvalve.model.ClubId;

/**
 * Demand of a club at one entry.
 *
 * @param club the club
 * @param streams streams that the club needs: all that run, wait or were refused
 * recently; if none waits, its recent peak, so that its next request finds a free stream
 * @param teams demand of its teams
 */
public record ClubDemand(ClubId club, double streams, List<TeamDemand> teams) {

	/**
	 * Copies the list.
	 */
	public ClubDemand {
		teams = List.copyOf(teams);
	}

}
