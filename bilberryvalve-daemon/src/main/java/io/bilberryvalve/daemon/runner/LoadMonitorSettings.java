package io.bilberryvalve.daemon.runner;

import java.time.Duration;

/**
 * Bounds of load polling.
 *
 * @param interval time between two polls of a runner, on average
 * @param jitter part of the interval by which polls vary, 0 to 1, so that entries do not
 * poll at the same moment
 * @param maxPollsPerSecond largest rate of polls of this entry; with more runners than
 * this rate allows, each runner is polled less often
 * @param maxInFlight largest number of polls without an answer
 * @param replanInterval time between two plans without an event that requires one
 */
public record LoadMonitorSettings(Duration interval, double jitter, int maxPollsPerSecond, int maxInFlight,
		Duration replanInterval) {

	/**
	 * Returns the default bounds.
	 * @return the bounds
	 */
	public static LoadMonitorSettings defaults() {
		return new LoadMonitorSettings(Duration.ofSeconds(1), 0.2, 100, 64, Duration.ofSeconds(5));
	}

}
