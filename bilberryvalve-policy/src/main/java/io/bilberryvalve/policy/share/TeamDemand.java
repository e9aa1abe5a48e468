package io.bilberryvalve.policy.share;

import io.bilberryvalve.model.TeamId;

/**
 * Demand of a team at one entry.
 *
 * @param team the team
 * @param waitingCost token cost of waiting requests
 * @param runningCost token cost of running requests
 * @param waiting number of waiting requests
 * @param running number of running requests
 * @param refused number of requests refused recently, with older ones weighted less;
 * without it, an entry with a short queue would never get more streams
 * @param recentCost token cost completed recently, with older requests weighted less
 * @param recentStreamSeconds time for which streams were held for that cost, in seconds
 */
public record TeamDemand(TeamId team, long waitingCost, long runningCost, int waiting, int running, double refused,
		double recentCost, double recentStreamSeconds) {

	/**
	 * Returns the streams that the team could use now.
	 * @return the number of streams
	 */
	public double streams() {
		return this.waiting + this.running + this.refused;
	}

}
