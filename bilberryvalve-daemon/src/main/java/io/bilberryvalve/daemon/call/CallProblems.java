package io.bilberryvalve.daemon.call;

import java.time.Duration;

import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.policy.once.ExecutionAnswer;
import io.bilberryvalve.policy.once.IssuedKeys;

/**
 * Problems that are reported to the callers of operations. The outcome {@code not-run}
 * refers to this request only: an earlier request with the same key may have been
 * executed, so the remedies ask the caller to use the same key again.
 */
final class CallProblems {

	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	private static final String SAME_KEY = "repeat the request with the same key";

	private static final String ASK_APPLICATION = "find out from the application whether the call ran before using"
			+ " another key";

	private CallProblems() {
	}

	static Problem of(ExecutionAnswer answer) {
		if (answer instanceof ExecutionAnswer.NotRun notRun) {
			return notRun(notRun.reason());
		}
		if (answer instanceof ExecutionAnswer.KeyReused) {
			return keyReused();
		}
		return (answer instanceof ExecutionAnswer.InProgress) ? inProgress() : replyLost();
	}

	private static Problem notRun(ExecutionAnswer.Reason reason) {
		switch (reason) {
			case STORE_UNAVAILABLE:
				return Problem
					.notRun(ProblemKind.STORE_UNAVAILABLE,
							"this request was not run, because the table service" + " does not accept its record",
							SAME_KEY + " later, or use a key from POST /v1/keys for a new call")
					.withRetryAfter(RETRY_AFTER);
			case DEADLINE:
				return Problem.notRun(ProblemKind.DEADLINE_EXCEEDED, "the deadline passed before the call was sent",
						SAME_KEY + " and a longer X-Request-Timeout");
			case NO_UPSTREAM:
				return noUpstream();
			default:
				return Problem
					.notRun(ProblemKind.OVERLOADED, "too many calls are in progress at this entry", SAME_KEY + " later")
					.withRetryAfter(RETRY_AFTER);
		}
	}

	static Problem noUpstream() {
		return Problem
			.notRun(ProblemKind.NO_RUNNER, "no runner of the application accepted a connection", SAME_KEY + " later")
			.withRetryAfter(RETRY_AFTER);
	}

	static Problem keyReused() {
		return Problem.notRun(ProblemKind.KEY_REUSED, "the idempotency key was used with a different request",
				"use a new key for a new request, or send the first request unchanged");
	}

	static Problem inProgress() {
		return Problem
			.unknown(ProblemKind.IN_PROGRESS, "an earlier request with this key has no result yet",
					SAME_KEY + " later; if there is still no result, " + ASK_APPLICATION)
			.withRetryAfter(RETRY_AFTER);
	}

	static Problem replyLost() {
		return Problem.unknown(ProblemKind.RUNNER_FAILED, "the call was sent and its answer was lost", ASK_APPLICATION);
	}

	static Problem issuerUnavailable(VmId issuer) {
		return Problem
			.unknown(ProblemKind.UNAVAILABLE, "entry " + issuer + ", which issued the key, did not answer",
					SAME_KEY + " later; if there is still no result, " + ASK_APPLICATION)
			.withRetryAfter(RETRY_AFTER);
	}

	static Problem ofDecision(IssuedKeys.Decision decision) {
		switch (decision) {
			case IN_PROGRESS:
				return inProgress();
			case KEY_REUSED:
				return keyReused();
			case FOREIGN:
				return Problem.notRun(ProblemKind.FORBIDDEN, "the key was issued to another club",
						"request a key with POST /v1/keys");
			case EXPIRED:
				return Problem.notRun(ProblemKind.BAD_REQUEST, "the key was not used within its lifetime",
						"request a new key with POST /v1/keys");
			case LOST:
				return replyLost();
			case COMPLETED:
				return completedWithoutBody();
			default:
				return Problem.unknown(ProblemKind.UNAVAILABLE,
						"this entry does not know the key; it has restarted since it issued the key"
								+ " or no longer stores it",
						ASK_APPLICATION);
		}
	}

	static Problem completedWithoutBody() {
		return new Problem(ProblemKind.REPLY_LOST, Outcome.COMPLETED,
				"the call was executed; its response is no longer stored", "read the state from the application", null);
	}

	static Problem badRequest(Exception cause) {
		return Problem.notRun(ProblemKind.BAD_REQUEST, String.valueOf(cause.getMessage()), "correct the request");
	}

}
