package io.bilberryvalve.policy.retry;

import java.time.Clock;
import java.time.Duration;
import java.util.random.RandomGenerator;

import io.bilberryvalve.model.Outcome;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether a failed attempt is retried. An attempt that was not run may be
 * retried; one that may have been run is retried only if it is idempotent. Each retry
 * takes one from the budget, and its delay must end before the deadline. The delay is
 * chosen by exponential backoff with full jitter, but is at least the delay that the
 * other side asked for.
 */
public final class RetryPolicy {

	private final Clock clock;

	private final RetryBudget budget;

	private final RandomGenerator random;

	private final int maxAttempts;

	private final Duration firstDelay;

	private final Duration lastDelay;

	/**
	 * Creates a policy.
	 * @param clock clock of the deadlines
	 * @param budget budget shared by all requests
	 * @param random source of the jitter
	 * @param maxAttempts largest number of attempts, the first one included, at least 1
	 * @param firstDelay upper bound of the first delay; it doubles with each further
	 * attempt
	 * @param lastDelay upper bound of every delay
	 */
	public RetryPolicy(Clock clock, RetryBudget budget, RandomGenerator random, int maxAttempts, Duration firstDelay,
			Duration lastDelay) {
		this.clock = clock;
		this.budget = budget;
		this.random = random;
		this.maxAttempts = maxAttempts;
		this.firstDelay = firstDelay;
		this.lastDelay = lastDelay;
	}

	/**
	 * Decides what to do after a failed attempt.
	 * @param attempt the failed attempt
	 * @param deadline deadline of the request
	 * @return {@link Retry} or {@link Stop}
	 */
	public Decision decide(Attempt attempt, Deadline deadline) {
		if (attempt.outcome() == Outcome.COMPLETED) {
			return new Stop("the request was run");
		}
		if (attempt.outcome() == Outcome.UNKNOWN && !attempt.idempotent()) {
			return new Stop("the request may have been run and is not idempotent");
		}
		if (attempt.number() >= this.maxAttempts) {
			return new Stop("all " + this.maxAttempts + " attempts failed");
		}
		Duration delay = delay(attempt);
		if (deadline.remaining(this.clock).compareTo(delay) <= 0) {
			return new Stop("the deadline leaves no time for another attempt");
		}
		if (!this.budget.tryRetry()) {
			return new Stop("the retry budget is used up");
		}
		return new Retry(delay);
	}

	private Duration delay(Attempt attempt) {
		double doubled = this.firstDelay.toMillis() * Math.pow(2, attempt.number() - 1);
		long bound = (long) Math.min(this.lastDelay.toMillis(), doubled);
		Duration jittered = Duration.ofMillis(this.random.nextLong(bound + 1));
		Duration asked = attempt.retryAfter();
		return (asked != null && asked.compareTo(jittered) > 0) ? asked : jittered;
	}

	/**
	 * A failed attempt.
	 *
	 * @param number number of the attempt within its request, from 1
	 * @param outcome whether the attempt was run, as far as is known
	 * @param idempotent whether the request may be run twice without harm
	 * @param retryAfter shortest delay that the other side asked for, or {@code null} if
	 * it did not
	 */
	public record Attempt(int number, Outcome outcome, boolean idempotent, @Nullable Duration retryAfter) {

		public Attempt {
			if (number < 1) {
				throw new IllegalArgumentException("attempts are numbered from 1");
			}
		}

	}

	/**
	 * What to do after a failed attempt.
	 */
	public sealed interface Decision {

	}

	/**
	 * Retry the request.
	 *
	 * @param delay time to wait before the next attempt
	 */
	public record Retry(Duration delay) implements Decision {

	}

	/**
	 * Report the failure.
	 *
	 * @param reason why the request is not retried
	 */
	public record Stop(String reason) implements Decision {

	}

}
