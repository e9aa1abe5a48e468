package io.bilberryvalve.gateway.feed;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.StoreFailure;
import io.bilberryvalve.platform.TableService;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class StoreReachTests {

	private static final StoreFailure DOWN = StoreFailure.of(StoreFailure.Kind.OUTAGE, "down");

	private final StoreReach reach = new StoreReach();

	private void commit(CommitResult result) {
		this.reach.track(new FixedStore(new ReadResult.Missing<>(), result)).commit(List.of());
	}

	private void read(ReadResult<Row> result) {
		this.reach.track(new FixedStore(result, new CommitResult.Unknown(DOWN))).read("t", "k");
	}

	// Guards against a holder of the lease that counts as reaching the store although its
	// renewals fail, while a delegate sends it rows.
	@Example
	void writesWithoutAnswerShowThatTheStoreIsNotReached() {
		assertThat(this.reach.isReached()).isTrue();
		commit(new CommitResult.Unknown(DOWN));
		assertThat(this.reach.isReached()).isFalse();
		commit(new CommitResult.Committed(List.of(1L)));
		assertThat(this.reach.isReached()).isTrue();
		commit(new CommitResult.Refused(DOWN));
		assertThat(this.reach.isReached()).isFalse();
		commit(new CommitResult.Conflict(List.of()));
		assertThat(this.reach.isReached()).isTrue();
	}

	@Example
	void readsShowWhetherTheStoreIsReached() {
		read(new ReadResult.Failed<>(DOWN));
		assertThat(this.reach.isReached()).isFalse();
		read(new ReadResult.Missing<>());
		assertThat(this.reach.isReached()).isTrue();
	}

	/**
	 * Store with one answer to each kind of call.
	 *
	 * @param row answer to reads
	 * @param commit answer to writes
	 */
	private record FixedStore(ReadResult<Row> row, CommitResult commit) implements TableService {

		@Override
		public CompletionStage<ReadResult<Row>> read(String table, String key) {
			return CompletableFuture.completedFuture(this.row);
		}

		@Override
		public CompletionStage<ReadResult<List<Row>>> list(String table, String prefix, int limit) {
			return CompletableFuture.completedFuture(new ReadResult.Found<>(List.of()));
		}

		@Override
		public CompletionStage<CommitResult> commit(List<RowOperation> operations) {
			return CompletableFuture.completedFuture(this.commit);
		}

	}

}
