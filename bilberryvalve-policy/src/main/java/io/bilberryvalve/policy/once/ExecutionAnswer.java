package io.bilberryvalve.policy.once;

/**
 * Answer to a call with an idempotency key.
 */
public sealed interface ExecutionAnswer {

	/**
	 * The call was run.
	 *
	 * @param result encoded answer of the upstream
	 * @param repeated whether another request with the same key ran it
	 */
	record Completed(String result, boolean repeated) implements ExecutionAnswer {

	}

	/**
	 * This request was not dispatched and never will be.
	 *
	 * @param reason why the request was not dispatched
	 */
	record NotRun(Reason reason) implements ExecutionAnswer {

	}

	/**
	 * The key was already used for a different request. This request was not dispatched.
	 */
	record KeyReused() implements ExecutionAnswer {

	}

	/**
	 * Another attempt with the same key has no result yet, so the outcome of the call is
	 * unknown.
	 */
	record InProgress() implements ExecutionAnswer {

	}

	/**
	 * The call was dispatched, but no answer to it is known, so its outcome is unknown.
	 */
	record Lost() implements ExecutionAnswer {

	}

	/**
	 * Why a request was not dispatched.
	 */
	enum Reason {

		/** The table service did not accept the record. */
		STORE_UNAVAILABLE,

		/** The deadline passed before the dispatch. */
		DEADLINE,

		/** No upstream accepted a connection. */
		NO_UPSTREAM,

		/** Too many keys have calls in progress. */
		OVERLOADED

	}

}
