package io.bilberryvalve.policy.once;

import java.time.Duration;

/**
 * Limits of an {@link ExecutionTracker}.
 *
 * @param batchSize largest number of records in a transaction
 * @param maxBatchesInProgress largest number of transactions that have no result yet
 * @param commitInterval shortest time between the starts of two transactions
 * @param backOff time before a refused transaction or a failed read is repeated
 * @param maxKeys largest number of keys in memory
 * @param resultRetention how long a settled key stays in memory with its result
 * @param recordLifetime age from which a record no longer prevents another call with its
 * key
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
	 * Returns the limits used by a daemon.
	 * @return limits with batches of 100 records, started at least 20 ms apart
	 */
	public static ExecutionLimits defaults() {
		return DEFAULTS;
	}

	/**
	 * Returns a copy with another batch size.
	 * @param size largest number of records in a transaction
	 * @return the changed copy
	 */
	public ExecutionLimits withBatchSize(int size) {
		return new ExecutionLimits(size, this.maxBatchesInProgress, this.commitInterval, this.backOff, this.maxKeys,
				this.resultRetention, this.recordLifetime);
	}

	/**
	 * Returns a copy with another commit interval.
	 * @param time shortest time between the starts of two transactions
	 * @return the changed copy
	 */
	public ExecutionLimits withCommitInterval(Duration time) {
		return new ExecutionLimits(this.batchSize, this.maxBatchesInProgress, time, this.backOff, this.maxKeys,
				this.resultRetention, this.recordLifetime);
	}

	/**
	 * Returns a copy with another limit on the keys in memory.
	 * @param bound largest number of keys in memory
	 * @return the changed copy
	 */
	public ExecutionLimits withMaxKeys(int bound) {
		return new ExecutionLimits(this.batchSize, this.maxBatchesInProgress, this.commitInterval, this.backOff, bound,
				this.resultRetention, this.recordLifetime);
	}

}
