package io.bilberryvalve.policy.retry;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongToDoubleFunction;

/**
 * Limits retries to a fraction of the requests in a sliding window, to prevent retry
 * storms. Safe for use by several threads without locks: the window is an immutable value
 * that is replaced by compare-and-set, so concurrent retries together never exceed the
 * limit.
 */
public final class RetryBudget {

	/** Default limit of retries, as a fraction of the requests in the window. */
	public static final double DEFAULT_FRACTION = 0.1;

	/**
	 * Default number of retries that are permitted in a window independent of the
	 * traffic, so that an entry with few requests can retry one.
	 */
	public static final int DEFAULT_FLOOR = 3;

	private static final int BUCKETS = 10;

	private final Clock clock;

	private final LongToDoubleFunction permitted;

	private final long bucketMillis;

	private final AtomicReference<Window> window;

	/**
	 * Creates a budget of 10 percent over 10 s, with a floor of 3 retries.
	 * @param clock clock of the window
	 */
	public RetryBudget(Clock clock) {
		this(clock, DEFAULT_FRACTION, DEFAULT_FLOOR, Duration.ofSeconds(BUCKETS));
	}

	/**
	 * Creates a budget from a fraction and a floor.
	 * @param clock clock of the window
	 * @param fraction retries as a fraction of requests, 0 to 1
	 * @param floor retries permitted in a window independent of the traffic, at least 0
	 * @param length length of the window, at least 10 ms
	 */
	public RetryBudget(Clock clock, double fraction, int floor, Duration length) {
		this(clock, (requests) -> Math.max(floor, fraction * requests), length);
		if (fraction < 0 || fraction > 1 || floor < 0) {
			throw new IllegalArgumentException("retry budget needs a fraction from 0 to 1 and a floor of at least 0");
		}
	}

	/**
	 * Creates a budget with any limit.
	 * @param clock clock of the window
	 * @param permitted computes the retries permitted in a window from the number of
	 * requests in it
	 * @param length length of the window, at least 10 ms
	 */
	public RetryBudget(Clock clock, LongToDoubleFunction permitted, Duration length) {
		if (length.toMillis() < BUCKETS) {
			throw new IllegalArgumentException("retry budget needs a window of at least " + BUCKETS + " ms");
		}
		this.clock = clock;
		this.permitted = permitted;
		this.bucketMillis = length.toMillis() / BUCKETS;
		this.window = new AtomicReference<>(new Window(currentTick(), new long[BUCKETS], new long[BUCKETS], 0, 0));
	}

	/**
	 * Records the first attempt of a request.
	 */
	public void recordRequest() {
		this.window.updateAndGet((now) -> now.advanceTo(currentTick()).plus(1, 0));
	}

	/**
	 * Takes one retry from the budget if one is left.
	 * @return whether the retry is permitted
	 */
	public boolean tryRetry() {
		while (true) {
			Window seen = this.window.get();
			Window now = seen.advanceTo(currentTick());
			if (now.retries + 1 > this.permitted.applyAsDouble(now.requests)) {
				return false;
			}
			if (this.window.compareAndSet(seen, now.plus(0, 1))) {
				return true;
			}
		}
	}

	private long currentTick() {
		return this.clock.millis() / this.bucketMillis;
	}

	private record Window(long tick, long[] requestCounts, long[] retryCounts, long requests, long retries) {

		Window advanceTo(long now) {
			if (now <= this.tick) {
				return this;
			}
			long[] newRequests = this.requestCounts.clone();
			long[] newRetries = this.retryCounts.clone();
			long sumRequests = this.requests;
			long sumRetries = this.retries;
			for (long i = Math.max(this.tick + 1, now - BUCKETS + 1); i <= now; i++) {
				int bucket = (int) (i % BUCKETS);
				sumRequests -= newRequests[bucket];
				sumRetries -= newRetries[bucket];
				newRequests[bucket] = 0;
				newRetries[bucket] = 0;
			}
			return new Window(now, newRequests, newRetries, sumRequests, sumRetries);
		}

		Window plus(long moreRequests, long moreRetries) {
			long[] newRequests = this.requestCounts.clone();
			long[] newRetries = this.retryCounts.clone();
			int bucket = (int) (this.tick % BUCKETS);
			newRequests[bucket] += moreRequests;
			newRetries[bucket] += moreRetries;
			return new Window(this.tick, newRequests, newRetries, this.requests + moreRequests,
					this.retries + moreRetries);
		}

	}

}
