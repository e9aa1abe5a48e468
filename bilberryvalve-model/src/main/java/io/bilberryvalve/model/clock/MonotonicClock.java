package io.bilberryvalve.model.clock;

import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;

/**
 * A clock that starts at the system time and then advances with the monotonic timer of
 * the runtime, so that corrections of the system time do not move it.
 */
public final class MonotonicClock extends Clock {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final Instant start = Instant.now();

	private final long startNanos = System.nanoTime();

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
		return this.start.plusNanos(System.nanoTime() - this.startNanos);
	}

	@Override
	public long millis() {
		return this.start.toEpochMilli() + (System.nanoTime() - this.startNanos) / NANOS_PER_MILLI;
	}

}
