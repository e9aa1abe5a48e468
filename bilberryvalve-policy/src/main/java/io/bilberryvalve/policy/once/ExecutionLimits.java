package io.bilberryvalve.policy.once;

import java.time.Duration;

/**
 * Limits of an {@link ExecutionTracker}.
 *
 * @param batchSize largest number of records in a transaction
 * @param maxBatchesInProgress largest number of transactions without a result
 * @param commitInterval shortest time between the starts of two transactions
 * @param backOff time before a refused transaction or a failed read is repeated
 * @param maxKeys largest number of keys in memory
 * @param resultRetention how long a result stays in memory
 * @param recordLifetime age at which a record no longer protects its key
 */
public record ExecutionLimits(int batchSize, int maxBatchesInProgress, Duration commitInterval, Duration backOff,
		int maxKeys, Duration resultRetention, Duration recordLifetime) {

	private static final ExecutionLimits DEFAULTS = new ExecutionLimits(100, 4, Duration.ofMillis(20),
			Duration.ofMillis(200), 20_000, Duration.ofMinutes(10), Duration.ofHours(24));

	/**
	 * Checks the limits.
	 * @throws IllegalArgumentException if a number is not positive
	 */
	public ExecutionLimits {
		if (batchSize < 1 || maxBatchesInProgress < 1 || maxKeys < 1) {
			throw new IllegalArgumentException("batch size, batches in progress and keys must be positive");
		}
	}

	/**
	 * Returns the limits of a daemon.
	 * @return batches of 100 records, started at least 20 ms apart
	 */
	public static ExecutionLimits defaults() {
		return DEFAULTS;
	}

	/**
	 * Returns the same limits with another batch size.
	 * @param size largest number of records in a transaction
	 * @return the limits
	 */
	public ExecutionLimits withBatchSize(int size) {
		return new ExecutionLimits(size, this.maxBatchesInProgress, this.commitInterval, this.backOff, this.maxKeys,
				this.resultRetention, this.recordLifetime);
	}

	/**
	 * Returns the same limits with another spacing.
	 * @param time shortest time between the starts of two transactions
	 * @return the limits
	 */
	public ExecutionLimits withCommitInterval(Duration time) {
		return new ExecutionLimits(this.batchSize, this.maxBatchesInProgress, time, this.backOff, this.maxKeys,
				this.resultRetention, this.recordLifetime);
	}

	/**
	 * Returns the same limits with another bound on keys.
	 * @param bound largest number of keys in memory
	 * @return the limits
	 */
	public ExecutionLimits withMaxKeys(int bound) {
		return new ExecutionLimits(this.batchSize, this.maxBatchesInProgress, this.commitInterval, this.backOff, bound,
				this.resultRetention, this.recordLifetime);
	}

}
