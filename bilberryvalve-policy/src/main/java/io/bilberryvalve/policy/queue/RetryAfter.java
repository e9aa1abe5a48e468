package io.bilberryvalve.policy.queue;

import java.util.random.RandomGenerator;

/**
 * Computes the delay after which a rejected caller should retry. There are two kinds of
 * overload: a burst lasts until the present queue has drained, and a loss of capacity
 * lasts until other cards have loaded the lost layers. Callers with a shorter delay would
 * retry during the same overload and be rejected again. Callers with the same delay would
 * retry all at once, so delays have random jitter. An instance is not safe for use by
 * several threads.
 */
public final class RetryAfter {

	/** Largest jitter, as a fraction of the drain time. */
	private static final double JITTER_FRACTION = 0.5;

	/** Shortest time in which a spare card is found and loads the lost layers. */
	private static final long MIN_REPAIR_MILLIS = 1500;

	/**
	 * Longest time until a lost card for which no request was waiting has left the list
	 * of runners and is replaced.
	 */
	private static final long MAX_REPAIR_MILLIS = 5000;

	/** Shortest delay of a caller; an immediate retry would find no slot. */
	private static final long MIN_DRAIN_MILLIS = 200;

	/**
	 * Longest drain time that is counted. With the largest jitter, the delay is 3 s, as
	 * long as a burst.
	 */
	private static final long MAX_DRAIN_MILLIS = 2000;

	/**
	 * Drain time that is assumed before the rate of admissions was measured; the longest
	 * wait of a stream.
	 */
	private static final long UNKNOWN_DRAIN_MILLIS = 1000;

	private final RandomGenerator random;

	/**
	 * Creates a computation.
	 * @param random source of the jitter, used by one thread at a time
	 */
	public RetryAfter(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Draws the delay for a caller whose request would have waited too long: the expected
	 * time in which the requests ahead of it in its class are served.
	 * @param refusal what decided about the request
	 * @param repairing whether lost capacity is being replaced at present
	 * @return delay in milliseconds, from 200 to 3000 unless capacity is being replaced
	 */
	public long draw(Refusal refusal, boolean repairing) {
		long drain = (refusal.costPerSecond() > 0) ? Math.round(refusal.expectedWaitMillis()) : UNKNOWN_DRAIN_MILLIS;
		return draw(Math.max(MIN_DRAIN_MILLIS, Math.min(MAX_DRAIN_MILLIS, drain)), repairing);
	}

	/**
	 * Draws the delay for one caller.
	 * @param drainMillis expected time until the present queue has drained
	 * @param repairing whether lost capacity is being replaced at present
	 * @return delay in milliseconds
	 */
	public long draw(long drainMillis, boolean repairing) {
		long drained = drainMillis + Math.round(drainMillis * JITTER_FRACTION * this.random.nextDouble());
		return repairing ? Math.max(drained, this.random.nextLong(MIN_REPAIR_MILLIS, MAX_REPAIR_MILLIS + 1)) : drained;
	}

}
