package io.bilberryvalve.policy.once;

import java.util.List;

/**
 * Output of an {@link ExecutionLedger}.
 */
public sealed interface OnceAction {

	/**
	 * Run a transaction and report its result.
	 *
	 * @param batch the batch
	 * @param writes writes of the transaction
	 */
	record Commit(long batch, List<RecordWrite> writes) implements OnceAction {

	}

	/**
	 * Read the rows of a batch and report them.
	 *
	 * @param batch the batch
	 * @param keys the keys
	 */
	record Read(long batch, List<ExecutionKey> keys) implements OnceAction {

	}

	/**
	 * Dispatch a call and report how it ended. It is issued at most once for a call.
	 *
	 * @param call the call
	 * @param key its key
	 */
	record Dispatch(long call, ExecutionKey key) implements OnceAction {

	}

	/**
	 * Answer a call. It is issued exactly once for a call.
	 *
	 * @param call the call
	 * @param answer the answer
	 */
	record Answer(long call, ExecutionAnswer answer) implements OnceAction {

	}

}
