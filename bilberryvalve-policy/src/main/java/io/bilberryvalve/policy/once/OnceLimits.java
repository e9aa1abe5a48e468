package io.bilberryvalve.policy.once;

import java.time.Duration;

/**
 * Limits of an {@link ExecutionLedger}.
 *
 * @param batchSize largest number of records in a transaction
 * @param batchesInProgress largest number of transactions without a result
 * @param spacing shortest time between the starts of two transactions
 * @param backOff time before a refused transaction or a failed read is repeated
 * @param keys largest number of keys in memory
 * @param memory how long a result stays in memory
 * @param lifetime age at which a record no longer protects its key
 */
public record OnceLimits(int batchSize, int batchesInProgress, Duration spacing, Duration backOff, int keys,
		Duration memory, Duration lifetime) {

	private static final OnceLimits DEFAULTS = new OnceLimits(100, 4, Duration.ofMillis(20), Duration.ofMillis(200),
			20_000, Duration.ofMinutes(10), Duration.ofHours(24));

	/**
	 * Checks the limits.
	 * @throws IllegalArgumentException if a number is not positive
	 */
	public OnceLimits {
		if (batchSize < 1 || batchesInProgress < 1 || keys < 1) {
			throw new IllegalArgumentException("batch size, batches in progress and keys must be positive");
		}
	}

	/**
	 * Returns the limits of a daemon.
	 * @return batches of 100 records, started at least 20 ms apart
	 */
	public static OnceLimits defaults() {
		return DEFAULTS;
	}

	/**
	 * Returns the same limits with another batch size.
	 * @param size largest number of records in a transaction
	 * @return the limits
	 */
	public OnceLimits batchSize(int size) {
		return new OnceLimits(size, this.batchesInProgress, this.spacing, this.backOff, this.keys, this.memory,
				this.lifetime);
	}

	/**
	 * Returns the same limits with another spacing.
	 * @param time shortest time between the starts of two transactions
	 * @return the limits
	 */
	public OnceLimits spacing(Duration time) {
		return new OnceLimits(this.batchSize, this.batchesInProgress, time, this.backOff, this.keys, this.memory,
				this.lifetime);
	}

	/**
	 * Returns the same limits with another bound on keys.
	 * @param bound largest number of keys in memory
	 * @return the limits
	 */
	public OnceLimits keys(int bound) {
		return new OnceLimits(this.batchSize, this.batchesInProgress, this.spacing, this.backOff, bound, this.memory,
				this.lifetime);
	}

}
