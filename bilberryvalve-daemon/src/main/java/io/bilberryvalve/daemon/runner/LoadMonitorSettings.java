package io.bilberryvalve.daemon.runner;

import java.time.Duration;

/**
 * Intervals and limits of load polling.
 *
 * @param interval average time between two polls of a runner
 * @param jitter fraction of the interval, 0 to 1, by which the time between two polls
 * varies at random, so that entries do not poll at the same moment
 * @param maxPollsPerSecond maximum number of polls that this entry starts in a second;
 * with more runners than this rate allows, each runner is polled less often
 * @param maxInFlight maximum number of polls that wait for an answer
 * @param replanInterval time after which the chains are planned again even if nothing has
 * changed
 */
public record LoadMonitorSettings(Duration interval, double jitter, int maxPollsPerSecond, int maxInFlight,
		Duration replanInterval) {

	/**
	 * Returns the default settings.
	 * @return settings for one poll of each runner a second and a plan every 5 s
	 */
	public static LoadMonitorSettings defaults() {
		return new LoadMonitorSettings(Duration.ofSeconds(1), 0.2, 100, 64, Duration.ofSeconds(5));
	}

}
