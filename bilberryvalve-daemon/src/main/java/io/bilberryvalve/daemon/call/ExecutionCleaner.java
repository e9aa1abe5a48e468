package io.bilberryvalve.daemon.call;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.policy.once.ExecutionKey;
import io.bilberryvalve.policy.once.RecordExpiry;
import io.bilberryvalve.policy.once.StoredRecord;

/**
 * Deletes expired execution records from the table service. Each step makes at most one
 * write, so the rate of steps limits the rate of writes. Several daemons may run steps at
 * the same time, because a record is deleted only if its row still has the version that
 * was read.
 */
public final class ExecutionCleaner {

	private static final Logger LOGGER = System.getLogger(ExecutionCleaner.class.getName());

	/** Maximum number of index rows read in one step. */
	static final int MAX_INDEX_ROWS = 200;

	/**
	 * Maximum number of records handled in one step. The first index row is handled even
	 * if it lists more, because otherwise its records would never be deleted.
	 */
	static final int MAX_RECORDS = 500;

	private static final CompletionStage<Integer> NONE_DELETED = CompletableFuture.completedFuture(0);

	private final TableService tables;

	private final RecordExpiry expiry;

	private final Clock clock;

	/**
	 * Creates a cleaner.
	 * @param tables table service that holds the records and the index
	 * @param expiry decides which records have expired
	 * @param clock clock for the age of the records
	 */
	public ExecutionCleaner(TableService tables, RecordExpiry expiry, Clock clock) {
		this.tables = tables;
		this.expiry = expiry;
		this.clock = clock;
	}

	/**
	 * Deletes the expired records listed in the oldest expired index rows, and these
	 * index rows, in one transaction.
	 * @return the number of deleted records; 0 if none has expired or a request to the
	 * table service failed
	 */
	public CompletionStage<Integer> deleteExpired() {
		return this.tables.list(ExecutionStore.INDEX_TABLE, "", MAX_INDEX_ROWS).thenCompose((fetched) -> {
			if (!(fetched instanceof ReadResult.Found<List<Row>> found)) {
				return NONE_DELETED;
			}
			List<Row> expired = found.value()
				.stream()
				.filter((row) -> this.expiry.indexRowExpired(row.key(), this.clock.instant()))
				.toList();
			return expired.isEmpty() ? NONE_DELETED : readRecords(limitRecords(expired));
		});
	}

	private static List<Row> limitRecords(List<Row> expired) {
		List<Row> selected = new ArrayList<>();
		long records = 0;
		for (Row row : expired) {
			records += row.value().lines().count();
			if (!selected.isEmpty() && records > MAX_RECORDS) {
				break;
			}
			selected.add(row);
		}
		return selected;
	}

	private CompletionStage<Integer> readRecords(List<Row> index) {
		List<CompletableFuture<ReadResult<Row>>> reads = index.stream()
			.flatMap((row) -> row.value().lines())
			.distinct()
			.filter(ExecutionCleaner::isKey)
			.map((key) -> this.tables.read(ExecutionStore.TABLE, key).toCompletableFuture())
			.toList();
		return CompletableFuture.allOf(reads.toArray(CompletableFuture<?>[]::new)).thenCompose((done) -> {
			List<RecordExpiry.Row> records = new ArrayList<>();
			for (CompletableFuture<ReadResult<Row>> read : reads) {
				ReadResult<Row> fetched = read.join();
				if (fetched instanceof ReadResult.Failed<Row>) {
					return NONE_DELETED;
				}
				if (fetched instanceof ReadResult.Found<Row> found) {
					records.add(toExpiryRow(found.value()));
				}
			}
			return delete(index, this.expiry.expired(records, this.clock.instant()));
		});
	}

	// A line that no key has cannot name a record; the others must still be deleted.
	private static boolean isKey(String line) {
		try {
			ExecutionKey.parse(line);
			return true;
		}
		catch (IllegalArgumentException ex) {
			LogEvent.of("execution-index-damaged").with("error", ex).log(LOGGER, Level.WARNING);
			return false;
		}
	}

	private RecordExpiry.Row toExpiryRow(Row row) {
		return new RecordExpiry.Row(ExecutionKey.parse(row.key()),
				new StoredRecord(row.version(), ExecutionRecordCodec.decode(row.value(), this.clock.instant())));
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
