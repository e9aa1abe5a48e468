package io.bilberryvalve.policy.once;

import java.util.List;

/**
 * Action that an {@link ExecutionTracker} requests.
 */
public sealed interface ExecutionAction {

	/**
	 * Commit a transaction and report its result.
	 *
	 * @param batch number of the batch, repeated in the report
	 * @param writes writes of the transaction, one for each key
	 */
	record Commit(long batch, List<RecordWrite> writes) implements ExecutionAction {

	}

	/**
	 * Read the rows of a batch whose result is unknown, and report them.
	 *
	 * @param batch number of the batch, repeated in the report
	 * @param keys keys of the rows
	 */
	record ReadRows(long batch, List<ExecutionKey> keys) implements ExecutionAction {

	}

	/**
	 * Dispatch a call to an upstream and report the result. The tracker requests this at
	 * most once for a call.
	 *
	 * @param call number of the call
	 * @param key idempotency key of the call
	 */
	record Dispatch(long call, ExecutionKey key) implements ExecutionAction {

	}

	/**
	 * Answer a call. The tracker requests this exactly once for a call.
	 *
	 * @param call number of the call
	 * @param answer what the caller is told
	 */
	record Answer(long call, ExecutionAnswer answer) implements ExecutionAction {

	}

}
