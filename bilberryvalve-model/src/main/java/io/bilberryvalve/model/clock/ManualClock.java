package io.bilberryvalve.model.clock;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Clock for tests and simulations whose time changes only when {@link #advance} is
 * called. Safe for use by several threads.
 */
public final class ManualClock extends Clock {

	private final AtomicReference<Instant> now;

	/**
	 * Creates a clock that shows the given time.
	 * @param start initial time
	 */
	public ManualClock(Instant start) {
		this.now = new AtomicReference<>(start);
	}

	/**
	 * Creates a clock that shows 1970-01-01T00:00:00Z.
	 */
	public ManualClock() {
		this(Instant.EPOCH);
	}

	/**
	 * Advances the clock.
	 * @param duration time to add, not negative
	 * @return this clock
	 * @throws IllegalArgumentException if the duration is negative
	 */
	public ManualClock advance(Duration duration) {
		if (duration.isNegative()) {
			throw new IllegalArgumentException("a clock cannot be advanced by the negative duration " + duration);
		}
		this.now.updateAndGet((time) -> time.plus(duration));
		return this;
	}

	@Override
	public ZoneId getZone() {
		return ZoneOffset.UTC;
	}

	@Override
	public Clock withZone(ZoneId zone) {
		return Clock.fixed(instant(), zone);
	}

	@Override
	public Instant instant() {
		return this.now.get();
	}

}
