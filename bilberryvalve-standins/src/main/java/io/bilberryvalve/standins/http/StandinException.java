package io.bilberryvalve.standins.http;

import java.time.Duration;

import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;

/**
 * A refused or failed request, answered with a problem document.
 */
public class StandinException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final transient Problem problem;

	/**
	 * Creates the exception.
	 * @param problem what is reported to the client
	 */
	public StandinException(Problem problem) {
		super(problem.toString());
		this.problem = problem;
	}

	/**
	 * Creates the exception for a request that was not run.
	 * @param kind kind of the problem
	 * @param detail what happened
	 * @param remedy what the client can do
	 * @return the exception
	 */
	public static StandinException refused(ProblemKind kind, String detail, String remedy) {
		return new StandinException(Problem.notRun(kind, detail, remedy));
	}

	/**
	 * Creates the exception for a request above a rate limit.
	 * @param what the limited resource
	 * @param delay time after which the request can succeed
	 * @return the exception
	 */
	public static StandinException limited(String what, Duration delay) {
		return new StandinException(new Problem(ProblemKind.OVERLOADED, Outcome.NOT_RUN, "rate limit of " + what,
				"repeat the request after the time in Retry-After", delay));
	}

	/**
	 * Returns what is reported to the client.
	 * @return the problem
	 */
	public Problem problem() {
		return this.problem;
	}

}
