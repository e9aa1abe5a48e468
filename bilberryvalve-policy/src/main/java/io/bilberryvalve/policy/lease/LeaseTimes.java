package io.bilberryvalve.policy.lease;

import java.time.Duration;

/**
 * Durations and intervals of a lease.
 *
 * @param duration how long the lease lasts after a grant or a renewal
 * @param safetyMargin time before the expiry of the lease at which the holder stops
 * sending orders; it covers clocks that run at different rates
 * @param renewalInterval mean time between renewals by the holder, and between reads by
 * other candidates
 * @param orderTimeout longest time from sending an order to its execution
 */
public record LeaseTimes(Duration duration, Duration safetyMargin, Duration renewalInterval, Duration orderTimeout) {

	private static final LeaseTimes DEFAULTS = new LeaseTimes(Duration.ofSeconds(15), Duration.ofSeconds(2),
			Duration.ofSeconds(5), Duration.ofSeconds(10));

	/**
	 * Checks the times.
	 * @throws IllegalArgumentException if duration and margin leave no time for a renewal
	 */
	public LeaseTimes {
		if (duration.minus(safetyMargin).compareTo(renewalInterval) <= 0) {
			throw new IllegalArgumentException("a lease of " + duration + " with margin " + safetyMargin
					+ " ends before its renewal after " + renewalInterval);
		}
	}

	/**
	 * Returns the times used by a daemon.
	 * @return times of leases that last 15 s and are renewed every 5 s
	 */
	public static LeaseTimes defaults() {
		return DEFAULTS;
	}

	/**
	 * Returns a copy with another order timeout.
	 * @param timeout longest time from sending an order to its execution
	 * @return the changed copy
	 */
	public LeaseTimes withOrderTimeout(Duration timeout) {
		return new LeaseTimes(this.duration, this.safetyMargin, this.renewalInterval, timeout);
	}

}
