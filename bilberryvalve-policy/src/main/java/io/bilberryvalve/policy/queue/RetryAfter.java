package io.bilberryvalve.policy.queue;

import java.util.random.RandomGenerator;

/**
 * Decides when a rejected caller should come back. Answers two load patterns: a burst,
 * after which the present line has to drain, and the loss of a part of the capacity,
 * which lasts until other cards have loaded the lost layers. Callers that are told a
 * shorter time return into the same overload and are rejected again; those that are told
 * the same time return together, so times are drawn.
 */
public final class RetryAfter {

	/** Part of the drain time by which callers are spread. */
	private static final double JITTER_FRACTION = 0.5;

	/** A spare card is found and has loaded its layers no sooner than this. */
	private static final long MIN_REPAIR_MILLIS = 1500;

	/** A lost card that nobody waited for leaves the list and is replaced within this. */
	private static final long MAX_REPAIR_MILLIS = 5000;

	private final RandomGenerator random;

	/**
	 * Creates a decision.
	 * @param random source of the spread, used by one thread at a time
	 */
	public RetryAfter(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Returns when a caller should come back.
	 * @param drainMillis time until the present line has drained
	 * @param repairing whether a part of the capacity is lost and being replaced
	 * @return milliseconds
	 */
	public long draw(long drainMillis, boolean repairing) {
		long drained = drainMillis + Math.round(drainMillis * JITTER_FRACTION * this.random.nextDouble());
		return repairing ? Math.max(drained, this.random.nextLong(MIN_REPAIR_MILLIS, MAX_REPAIR_MILLIS + 1)) : drained;
	}

}
