package io.bilberryvalve.policy.share;

/**
 * Length limits of an {@link AdmissionQueue}.
 *
 * @param maxWaitingPerTeam largest number of waiting requests of one team
 * @param maxWaitingPerEntry largest number of waiting requests of all teams
 */
public record QueueLimits(int maxWaitingPerTeam, int maxWaitingPerEntry) {

	private static final int DEFAULT_WAITING_PER_TEAM = 512;

	private static final int DEFAULT_WAITING_PER_ENTRY = 8192;

	/**
	 * Returns the default limits.
	 * @return 512 waiting requests of a team and 8192 of all teams
	 */
	public static QueueLimits defaults() {
		return new QueueLimits(DEFAULT_WAITING_PER_TEAM, DEFAULT_WAITING_PER_ENTRY);
	}

}
