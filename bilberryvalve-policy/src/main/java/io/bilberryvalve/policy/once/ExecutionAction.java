package io.bilberryvalve.policy.once;

import java.util.List;

/**
 * Output of an {@link ExecutionTracker}.
 */
public sealed interface ExecutionAction {

	/**
	 * Run a transaction and report its result.
	 *
	 * @param batch the batch
	 * @param writes writes of the transaction
	 */
	record Commit(long batch, List<RecordWrite> writes) implements ExecutionAction {

	}

	/**
	 * Read the rows of a batch and report them.
	 *
	 * @param batch the batch
	 * @param keys the keys
	 */
	record ReadRows(long batch, List<ExecutionKey> keys) implements ExecutionAction {

	}

	/**
	 * Dispatch a call and report how it ended. It is issued at most once for a call.
	 *
	 * @param call the call
	 * @param key its key
	 */
	record Dispatch(long call, ExecutionKey key) implements ExecutionAction {

	}

	/**
	 * Answer a call. It is issued exactly once for a call.
	 *
	 * @param call the call
	 * @param answer the answer
	 */
	record Answer(long call, ExecutionAnswer answer) implements ExecutionAction {

	}

}
