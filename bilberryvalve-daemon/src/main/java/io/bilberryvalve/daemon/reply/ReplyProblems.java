package io.bilberryvalve.daemon.reply;

import java.time.Duration;

import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;

/**
 * Creates the problems with which replies end. A reply that may have been dispatched can
 * be resumed after its last event, so its remedy is to resume it; otherwise the remedy is
 * to repeat the request.
 */
final class ReplyProblems {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final String RESUME = "repeat the request with Last-Event-ID set to the id of the last event";

	private static final String REPEAT = "repeat the request later";

	private ReplyProblems() {
	}

	static Problem noChain(Outcome outcome) {
		return problem(ProblemKind.NO_RUNNER, outcome, "no chain of runners covers the model");
	}

	static Problem repairBudgetExhausted(Outcome outcome) {
		return problem(ProblemKind.RUNNER_FAILED, outcome, "a runner failed and the repair budget is used up");
	}

	static Problem deadlineExceeded(Outcome outcome) {
		return problem(ProblemKind.DEADLINE_EXCEEDED, outcome, "the deadline passed before the reply was complete");
	}

	static Problem abandoned(Outcome outcome) {
		return problem(ProblemKind.UNAVAILABLE, outcome, "no reader asked for the reply");
	}

	static Problem lost(String detail) {
		return Problem.unknown(ProblemKind.REPLY_LOST, detail, "send the request again without Last-Event-ID");
	}

	/**
	 * Replaces the outcome of a problem.
	 * @param problem problem to copy
	 * @param outcome the new outcome
	 * @return copy of the problem with the new outcome
	 */
	static Problem withOutcome(Problem problem, Outcome outcome) {
		return new Problem(problem.kind(), outcome, problem.detail(), problem.remedy(), problem.retryAfter());
	}

	private static Problem problem(ProblemKind kind, Outcome outcome, String detail) {
		String remedy = (outcome == Outcome.NOT_RUN) ? REPEAT : RESUME;
		return new Problem(kind, outcome, detail, remedy, RETRY_AFTER);
	}

}
