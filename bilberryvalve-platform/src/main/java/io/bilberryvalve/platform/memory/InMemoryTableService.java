package io.bilberryvalve.platform.memory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.TableService;
import org.jspecify.annotations.Nullable;

/**
 * Table service in memory with fault injection, which can be restored from a copy of its
 * rows. Safe for use by several threads.
 */
public final class InMemoryTableService implements TableService {

	private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

	private long era;

	private final FaultInjector readFaults = new FaultInjector();

	private final FaultInjector writeFaults = new FaultInjector();

	private final AtomicLong readCount = new AtomicLong();

	private final AtomicLong writeCount = new AtomicLong();

	/**
	 * Returns the injector of faults into reads and lists.
	 * @return the injector, owned by this service
	 */
	public FaultInjector readFaults() {
		return this.readFaults;
	}

	/**
	 * Returns the injector of faults into transactions.
	 * @return the injector, owned by this service
	 */
	public FaultInjector writeFaults() {
		return this.writeFaults;
	}

	/**
	 * Returns the number of reads and lists received, whatever their result.
	 * @return the number since the service was created
	 */
	public long readCount() {
		return this.readCount.get();
	}

	/**
	 * Returns the number of transactions received, whatever their result.
	 * @return the number since the service was created
	 */
	public long writeCount() {
		return this.writeCount.get();
	}

	/**
	 * Returns a row. The call is not counted as a read and has no fault.
	 * @param table name of the table
	 * @param key key of the row
	 * @return the row, or {@code null} if it is absent
	 */
	public synchronized @Nullable Row row(String table, String key) {
		return rows(table).get(key);
	}

	/**
	 * Returns the number of rows of a table.
	 * @param table name of the table
	 * @return the number, 0 for an unknown table
	 */
	public synchronized int size(String table) {
		return rows(table).size();
	}

	/**
	 * Copies all rows.
	 * @return the copy, which later writes do not change
	 */
	public synchronized Copy copy() {
		Map<String, TreeMap<String, Row>> rows = new HashMap<>();
		this.tables.forEach((table, content) -> rows.put(table, new TreeMap<>(content)));
		return new Copy(rows);
	}

	/**
	 * Replaces all rows by those of a copy and starts a new era. Requests that are
	 * delayed or held take effect in the new era. The call is not counted and has no
	 * fault.
	 * @param copy copy of this service
	 */
	public synchronized void restore(Copy copy) {
		this.tables.clear();
		copy.tables.forEach((table, rows) -> this.tables.put(table, new TreeMap<>(rows)));
		this.era++;
	}

	@Override
	public CompletionStage<ReadResult<Row>> read(String table, String key) {
		this.readCount.incrementAndGet();
		return this.readFaults.apply(() -> fetch(table, key), ReadResult.Failed::new, ReadResult.Failed::new);
	}

	@Override
	public CompletionStage<ReadResult<List<Row>>> list(String table, String prefix, int limit) {
		this.readCount.incrementAndGet();
		return this.readFaults.apply(() -> select(table, prefix, limit), ReadResult.Failed::new,
				ReadResult.Failed::new);
	}

	@Override
	public CompletionStage<CommitResult> commit(List<RowOperation> operations) {
		if (operations.isEmpty()) {
			throw new IllegalArgumentException("a transaction needs at least one operation");
		}
		List<RowOperation> copy = List.copyOf(operations);
		this.writeCount.incrementAndGet();
		return this.writeFaults.apply(() -> run(copy), CommitResult.Refused::new, CommitResult.Unknown::new);
	}

	private synchronized ReadResult<Row> fetch(String table, String key) {
		Row row = rows(table).get(key);
		return (row != null) ? new ReadResult.Found<>(row, this.era) : new ReadResult.Missing<>(this.era);
	}

	private synchronized ReadResult<List<Row>> select(String table, String prefix, int limit) {
		return new ReadResult.Found<>(rows(table).tailMap(prefix)
			.values()
			.stream()
			.takeWhile((row) -> row.key().startsWith(prefix))
			.limit(limit)
			.toList(), this.era);
	}

	private synchronized CommitResult run(List<RowOperation> operations) {
		List<CommitResult.ConflictRow> conflicts = new ArrayList<>();
		for (int i = 0; i < operations.size(); i++) {
			check(i, operations.get(i), conflicts);
		}
		if (!conflicts.isEmpty()) {
			return new CommitResult.Conflict(conflicts, this.era);
		}
		return new CommitResult.Committed(operations.stream().map(this::write).toList(), this.era);
	}

	private void check(int index, RowOperation operation, List<CommitResult.ConflictRow> conflicts) {
		Row row = rows(operation.table()).get(operation.key());
		long version = (row != null) ? row.version() : RowOperation.ABSENT;
		Long expected = operation.expectedVersion();
		if (expected != null && expected != version) {
			conflicts.add(new CommitResult.ConflictRow(index, version, (row != null) ? row.value() : null));
		}
	}

	private long write(RowOperation operation) {
		Map<String, Row> rows = rows(operation.table());
		Row row = rows.get(operation.key());
		long version = (row != null) ? row.version() : RowOperation.ABSENT;
		if (operation instanceof RowOperation.Put put) {
			rows.put(put.key(), new Row(put.table(), put.key(), version + 1, put.value()));
			return version + 1;
		}
		if (operation instanceof RowOperation.Delete) {
			rows.remove(operation.key());
			return RowOperation.ABSENT;
		}
		return version;
	}

	private TreeMap<String, Row> rows(String table) {
		return this.tables.computeIfAbsent(table, (name) -> new TreeMap<>());
	}

	/**
	 * Rows of a service at one time.
	 */
	public static final class Copy {

		private final Map<String, TreeMap<String, Row>> tables;

		private Copy(Map<String, TreeMap<String, Row>> tables) {
			this.tables = tables;
		}

	}

}
