package io.bilberryvalve.policy.retry;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

/**
 * Time by which the answer to a request must be complete.
 *
 * @param at the time, on the clock of this process
 */
public record Deadline(Instant at) implements Comparable<Deadline> {

	/**
	 * Creates a deadline from a timeout.
	 * @param clock clock of this process
	 * @param timeout time left, zero or negative if it has passed
	 * @return deadline at the current time plus the timeout
	 */
	public static Deadline after(Clock clock, Duration timeout) {
		return new Deadline(clock.instant().plus(timeout));
	}

	/**
	 * Returns the time left.
	 * @param clock clock of this process
	 * @return the time left, zero if the deadline has passed
	 */
	public Duration remaining(Clock clock) {
		Duration left = Duration.between(clock.instant(), this.at);
		return left.isNegative() ? Duration.ZERO : left;
	}

	/**
	 * Returns whether the deadline has passed.
	 * @param clock clock of this process
	 * @return whether no time is left
	 */
	public boolean passed(Clock clock) {
		return remaining(clock).isZero();
	}

	/**
	 * Returns the timeout for one step of the work.
	 * @param clock clock of this process
	 * @param limit longest time that the step may take
	 * @return the limit or the time left, whichever is shorter
	 */
	public Duration remainingUpTo(Clock clock, Duration limit) {
		Duration left = remaining(clock);
		return (left.compareTo(limit) < 0) ? left : limit;
	}

	@Override
	public int compareTo(Deadline other) {
		return this.at.compareTo(other.at);
	}

}
