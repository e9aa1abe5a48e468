package io.bilberryvalve.policy.retry;

import java.time.Clock;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Tells whether a connection has been silent for longer than its limit. Only evidence
 * that the other side still answers counts; bytes that this side sent do not. Safe for
 * use by several threads without locks.
 */
public final class SilenceDetector {

	private final Clock clock;

	private final long limitMillis;

	private final AtomicLong lastAnswerMillis;

	/**
	 * Creates a detector that has just heard the other side.
	 * @param clock the clock
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
	 * Records an answer of the other side.
	 */
	public void recordAnswer() {
		long now = this.clock.millis();
		this.lastAnswerMillis.accumulateAndGet(now, Math::max);
	}

	/**
	 * Returns whether the limit has been reached.
	 * @return whether the connection is silent and must be replaced
	 */
	public boolean limitReached() {
		return silence().toMillis() >= this.limitMillis;
	}

	/**
	 * Returns the time since the last answer.
	 * @return the time, not negative
	 */
	public Duration silence() {
		return Duration.ofMillis(Math.max(0, this.clock.millis() - this.lastAnswerMillis.get()));
	}

}
