package io.bilberryvalve.gateway.feed;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.TableService;

/**
 * Whether this daemon reaches the store, as its last direct call to it has shown. Rows
 * that come through a delegate show nothing about it. Safe for use by several threads.
 */
public final class StoreReach {

	private volatile boolean reached = true;

	/**
	 * Returns whether the last direct call was answered.
	 * @return {@code true} also before the first call
	 */
	public boolean isReached() {
		return this.reached;
	}

	void record(boolean answered) {
		this.reached = answered;
	}

	/**
	 * Wraps a store, so that its calls count.
	 * @param store the store
	 * @return a store whose calls are recorded
	 */
	public TableService track(TableService store) {
		return new TableService() {

			@Override
			public CompletionStage<ReadResult<Row>> read(String table, String key) {
				return recordRead(store.read(table, key));
			}

			@Override
			public CompletionStage<ReadResult<List<Row>>> list(String table, String prefix, int limit) {
				return recordRead(store.list(table, prefix, limit));
			}

			@Override
			public CompletionStage<CommitResult> commit(List<RowOperation> operations) {
				return store.commit(operations)
					.whenComplete((result, failure) -> record(
							result instanceof CommitResult.Committed || result instanceof CommitResult.Conflict));
			}

		};
	}

	private <T> CompletionStage<ReadResult<T>> recordRead(CompletionStage<ReadResult<T>> call) {
		return call.whenComplete((result, failure) -> record(isAnswer(result)));
	}

	static boolean isAnswer(ReadResult<?> result) {
		return result instanceof ReadResult.Found || result instanceof ReadResult.Missing;
	}

}
