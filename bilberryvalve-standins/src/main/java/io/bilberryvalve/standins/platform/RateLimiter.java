package io.bilberryvalve.standins.platform;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

import io.bilberryvalve.standins.http.StandinException;

/**
 * Token bucket. It holds at most the permits of a tenth of a second, but at least one.
 */
final class RateLimiter {

	private static final double BURST_SECONDS = 0.1;

	private static final double NANOS_PER_SECOND = 1e9;

	private final String what;

	private final double perSecond;

	private final double capacity;

	private final Clock clock;

	private double available;

	private Instant updated;

	/**
	 * Creates a full bucket.
	 * @param what the limited resource, for messages
	 * @param perSecond permits for each second, positive
	 * @param clock measures time
	 */
	RateLimiter(String what, double perSecond, Clock clock) {
		if (!(perSecond > 0)) {
			throw new IllegalArgumentException("rate of " + what + " must be positive, but is " + perSecond);
		}
		this.what = what;
		this.perSecond = perSecond;
		this.capacity = Math.max(1, perSecond * BURST_SECONDS);
		this.clock = clock;
		this.available = this.capacity;
		this.updated = clock.instant();
	}

	/**
	 * Takes a permit.
	 * @throws StandinException if none is left, with the time until the next one
	 */
	synchronized void take() {
		Instant now = this.clock.instant();
		double seconds = Duration.between(this.updated, now).toNanos() / NANOS_PER_SECOND;
		this.available = Math.min(this.capacity, this.available + seconds * this.perSecond);
		this.updated = now;
		if (this.available < 1) {
			double wait = (1 - this.available) / this.perSecond;
			throw StandinException.limited(this.what, Duration.ofNanos((long) Math.ceil(wait * NANOS_PER_SECOND)));
		}
		this.available -= 1;
	}

}
