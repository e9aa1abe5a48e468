package io.bilberryvalve.policy.rollout;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * Decides when a daemon reads the configuration version from the store next, so that all
 * daemons together stay within a read budget and do not read at the same time.
 */
public final class RefreshSchedule {

	private static final Duration SHORTEST_MEAN = Duration.ofSeconds(1);

	private static final double MIN_JITTER_FACTOR = 0.5;

	private final double readsPerSecond;

	private final RandomGenerator random;

	/**
	 * Creates a schedule.
	 * @param readsPerSecond mean number of reads per second of all daemons together,
	 * positive
	 * @param random source of the jitter
	 */
	public RefreshSchedule(double readsPerSecond, RandomGenerator random) {
		this.readsPerSecond = readsPerSecond;
		this.random = random;
	}

	/**
	 * Returns the time until the next read.
	 * @param daemons number of daemons that share the budget
	 * @return delay of 0.5 to 1.5 times the mean, which is at least 1 s
	 */
	public Duration nextDelay(int daemons) {
		double meanMillis = Math.max(SHORTEST_MEAN.toMillis(), daemons * 1000.0 / this.readsPerSecond);
		return Duration.ofMillis(Math.round(meanMillis * (MIN_JITTER_FACTOR + this.random.nextDouble())));
	}

}
