package io.bilberryvalve.policy.share;

import io.bilberryvalve.model.TeamId;

/**
 * Demand of a team at one entry, part of a {@link ClubDemand}.
 *
 * @param team id of the team within its club
 * @param waitingCost predicted cost of waiting requests in tokens
 * @param runningCost predicted cost of running requests in tokens
 * @param waiting number of waiting requests
 * @param running number of running requests
 * @param refused number of requests refused recently, with older ones weighted less.
 * Without them, an entry whose queue is short would never get more streams
 * @param recentCost cost of requests that ended recently in tokens, with older requests
 * weighted less
 * @param recentStreamSeconds time for which these requests held their streams in seconds,
 * with the same weights
 */
public record TeamDemand(TeamId team, long waitingCost, long runningCost, int waiting, int running, double refused,
		double recentCost, double recentStreamSeconds) {

	/**
	 * Returns the streams that the team could use now.
	 * @return number of running, waiting and recently refused requests
	 */
	public double streams() {
		return this.waiting + this.running + this.refused;
	}

}
