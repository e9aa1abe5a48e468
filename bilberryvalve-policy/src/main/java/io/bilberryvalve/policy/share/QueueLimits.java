package io.bilberryvalve.policy.share;

/**
 * Limits of an admission queue.
 *
 * @param maxWaitingPerTeam requests of one team that may wait
 * @param maxWaitingPerEntry requests of all teams that may wait
 */
public record QueueLimits(int maxWaitingPerTeam, int maxWaitingPerEntry) {

	private static final int DEFAULT_WAITING_PER_TEAM = 512;

	private static final int DEFAULT_WAITING_PER_ENTRY = 8192;

	/**
	 * Returns the limits used in production: 512 requests of a team and 8192 in all.
	 * @return the limits
	 */
	public static QueueLimits defaults() {
		return new QueueLimits(DEFAULT_WAITING_PER_TEAM, DEFAULT_WAITING_PER_ENTRY);
	}

}
