package io.bilberryvalve.policy.once;

/**
 * What a caller is told about a call with an idempotency key.
 */
public sealed interface ExecutionAnswer {

	/**
	 * The call ran.
	 *
	 * @param result its result
	 * @param repeated whether an earlier request ran it
	 */
	record Completed(String result, boolean repeated) implements ExecutionAnswer {

	}

	/**
	 * This request was not dispatched and never will be.
	 *
	 * @param reason why
	 */
	record NotRun(Reason reason) implements ExecutionAnswer {

	}

	/**
	 * The key belongs to a different request. This request was not dispatched.
	 */
	record KeyReused() implements ExecutionAnswer {

	}

	/**
	 * Another attempt with the key has no result yet. Its outcome is unknown.
	 */
	record InProgress() implements ExecutionAnswer {

	}

	/**
	 * The call was dispatched and its answer was lost. Its outcome is unknown.
	 */
	record Lost() implements ExecutionAnswer {

	}

	/**
	 * Why a request was not dispatched.
	 */
	enum Reason {

		/** The table service did not accept the record. */
		STORE_UNAVAILABLE,

		/** The deadline passed first. */
		DEADLINE,

		/** No upstream accepted a connection. */
		NO_UPSTREAM,

		/** Too many calls are in progress. */
		OVERLOADED

	}

}
