package io.bilberryvalve.model;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Error reported to a caller or operator, with what is known about the execution of the
 * request and what the reader can do. Immutable.
 *
 * @param kind kind of the problem
 * @param outcome what is known about the execution of the request
 * @param detail what happened
 * @param remedy what the reader can do about it
 * @param retryAfter time after which a retry can succeed, or {@code null} if waiting does
 * not help
 */
public record Problem(ProblemKind kind, Outcome outcome, String detail, String remedy, @Nullable Duration retryAfter) {

	/**
	 * Creates a problem for a request that was not run and for which waiting does not
	 * help.
	 * @param kind kind of the problem
	 * @param detail what happened
	 * @param remedy what the reader can do about it
	 * @return the problem
	 */
	public static Problem notRun(ProblemKind kind, String detail, String remedy) {
		return new Problem(kind, Outcome.NOT_RUN, detail, remedy, null);
	}

	/**
	 * Creates a problem for a request that may have been run.
	 * @param kind kind of the problem
	 * @param detail what happened
	 * @param remedy what the reader can do about it
	 * @return the problem
	 */
	public static Problem unknown(ProblemKind kind, String detail, String remedy) {
		return new Problem(kind, Outcome.UNKNOWN, detail, remedy, null);
	}

	/**
	 * Returns a copy of this problem with a time after which a retry can succeed.
	 * @param delay time to wait before the retry
	 * @return the copy
	 */
	public Problem withRetryAfter(Duration delay) {
		return new Problem(this.kind, this.outcome, this.detail, this.remedy, delay);
	}

	@Override
	public String toString() {
		return this.kind.text() + " (" + this.outcome.text() + "): " + this.detail + "; " + this.remedy;
	}

}
