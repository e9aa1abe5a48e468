package io.bilberryvalve.daemon.call;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.policy.once.ExecutionKey;
import io.bilberryvalve.policy.once.RecordExpiry;
import io.bilberryvalve.policy.once.StoredRecord;

/**
 * Deletes expired execution records. Each step makes at most one write, so the rate of
 * steps bounds the rate of writes. Several daemons may run steps at the same time; the
 * deletion of a record expects the version that was read.
 */
public final class ExecutionCleaner {

	/** Largest number of index rows handled in one step. */
	static final int INDEX_ROWS = 200;

	/** Records handled in one step, unless the first index row lists more. */
	static final int RECORDS = 500;

	private static final CompletionStage<Integer> NOTHING = CompletableFuture.completedFuture(0);

	private final TableService tables;

	private final RecordExpiry expiry;

	private final Clock clock;

	/**
	 * Creates a cleaner.
	 * @param tables table service
	 * @param expiry decides which records have expired
	 * @param clock gives the time
	 */
	public ExecutionCleaner(TableService tables, RecordExpiry expiry, Clock clock) {
		this.tables = tables;
		this.expiry = expiry;
		this.clock = clock;
	}

	/**
	 * Deletes the records of the oldest expired index rows in one transaction.
	 * @return how many records were deleted; 0 if none had expired or a store failed
	 */
	public CompletionStage<Integer> step() {
		return this.tables.list(ExecutionStore.INDEX_TABLE, "", INDEX_ROWS).thenCompose((fetched) -> {
			if (!(fetched instanceof ReadResult.Found<List<Row>> found)) {
				return NOTHING;
			}
			List<Row> due = found.value()
				.stream()
				.filter((row) -> this.expiry.due(row.key(), this.clock.instant()))
				.toList();
			return due.isEmpty() ? NOTHING : readRecords(bounded(due));
		});
	}

	private static List<Row> bounded(List<Row> due) {
		List<Row> taken = new ArrayList<>();
		long records = 0;
		for (Row row : due) {
			records += row.value().lines().count();
			if (!taken.isEmpty() && records > RECORDS) {
				break;
			}
			taken.add(row);
		}
		return taken;
	}

	private CompletionStage<Integer> readRecords(List<Row> index) {
		List<CompletableFuture<ReadResult<Row>>> reads = index.stream()
			.flatMap((row) -> row.value().lines())
			.distinct()
			.map((key) -> this.tables.read(ExecutionStore.TABLE, key).toCompletableFuture())
			.toList();
		return CompletableFuture.allOf(reads.toArray(CompletableFuture<?>[]::new)).thenCompose((done) -> {
			List<RecordExpiry.Row> records = new ArrayList<>();
			for (CompletableFuture<ReadResult<Row>> read : reads) {
				ReadResult<Row> fetched = read.join();
				if (fetched instanceof ReadResult.Failed<Row>) {
					return NOTHING;
				}
				if (fetched instanceof ReadResult.Found<Row> found) {
					records.add(record(found.value()));
				}
			}
			return delete(index, this.expiry.expired(records, this.clock.instant()));
		});
	}

	private RecordExpiry.Row record(Row row) {
		return new RecordExpiry.Row(ExecutionKey.parse(row.key()),
				new StoredRecord(row.version(), RecordCodec.decode(row.value(), this.clock.instant())));
	}

	private CompletionStage<Integer> delete(List<Row> index, List<RecordExpiry.Row> records) {
		List<RowOperation> operations = new ArrayList<>();
		for (RecordExpiry.Row record : records) {
			operations
				.add(new RowOperation.Delete(ExecutionStore.TABLE, record.key().toString(), record.stored().version()));
		}
		for (Row row : index) {
			operations.add(new RowOperation.Delete(ExecutionStore.INDEX_TABLE, row.key(), null));
		}
		return this.tables.commit(operations)
			.thenApply((commit) -> (commit instanceof CommitResult.Committed) ? records.size() : 0);
	}

}
