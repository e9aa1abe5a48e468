package io.bilberryvalve.policy.retry;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Detects a connection whose other side has not answered for a time limit. Only evidence
 * that the other side still answers counts; bytes that this side sent do not. Safe for
 * use by several threads without locks.
 */
public final class SilenceDetector {

	private final Clock clock;

	private final long limitMillis;

	private final AtomicLong lastAnswerMillis;

	/**
	 * Creates a detector whose silence starts now.
	 * @param clock clock that measures the silence
	 * @param limit longest silence of a working connection, positive
	 */
	public SilenceDetector(Clock clock, Duration limit) {
		if (limit.isNegative() || limit.isZero()) {
			throw new IllegalArgumentException("silence limit " + limit + " is not positive; use for example 2 s");
		}
		this.clock = clock;
		this.limitMillis = limit.toMillis();
		this.lastAnswerMillis = new AtomicLong(clock.millis());
	}

	/**
	 * Records that the other side has answered just now.
	 */
	public void recordAnswer() {
		long now = this.clock.millis();
		this.lastAnswerMillis.accumulateAndGet(now, Math::max);
	}

	/**
	 * Returns whether the silence has reached the limit.
	 * @return whether the connection must be replaced
	 */
	public boolean limitReached() {
		return silence().toMillis() >= this.limitMillis;
	}

	/**
	 * Returns the time since the last answer, or since the creation if there was none.
	 * @return length of the silence, not negative
	 */
	public Duration silence() {
		return Duration.ofMillis(Math.max(0, this.clock.millis() - this.lastAnswerMillis.get()));
	}

}
