package io.bilberryvalve.policy.lease;

import java.time.Duration;

/**
 * Times of leases.
 *
 * @param duration how long a grant or a renewal lasts
 * @param safetyMargin time before the end of the lease at which the holder stops; it
 * covers clocks that run at different rates
 * @param renewalInterval mean time between renewals of the holder, and between reads of
 * others
 * @param orderTimeout longest time between sending an order and its execution
 */
public record LeaseTimes(Duration duration, Duration safetyMargin, Duration renewalInterval, Duration orderTimeout) {

	private static final LeaseTimes DEFAULTS = new LeaseTimes(Duration.ofSeconds(15), Duration.ofSeconds(2),
			Duration.ofSeconds(5), Duration.ofSeconds(10));

	/**
	 * Checks the times.
	 * @throws IllegalArgumentException if the margin leaves no time for a renewal
	 */
	public LeaseTimes {
		if (duration.minus(safetyMargin).compareTo(renewalInterval) <= 0) {
			throw new IllegalArgumentException("a lease of " + duration + " with margin " + safetyMargin
					+ " ends before its renewal after " + renewalInterval);
		}
	}

	/**
	 * Returns the times of a daemon.
	 * @return leases of 15 s that are renewed every 5 s
	 */
	public static LeaseTimes defaults() {
		return DEFAULTS;
	}

	/**
	 * Returns these times with another order timeout.
	 * @param timeout longest time between sending an order and its execution
	 * @return the times
	 */
	public LeaseTimes withOrderTimeout(Duration timeout) {
		return new LeaseTimes(this.duration, this.safetyMargin, this.renewalInterval, timeout);
	}

}
