package io.bilberryvalve.platform.memory;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.platform.Commit;
import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.Operation;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.TableService;
import org.jspecify.annotations.Nullable;

/**
 * Table service in memory.
 */
public final class MemoryTables implements TableService {

	private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

	private final Faults reads = new Faults();

	private final Faults writes = new Faults();

	private final AtomicLong readCount = new AtomicLong();

	private final AtomicLong writeCount = new AtomicLong();

	/**
	 * Returns the faults of reads and lists.
	 * @return the faults
	 */
	public Faults reads() {
		return this.reads;
	}

	/**
	 * Returns the faults of transactions.
	 * @return the faults
	 */
	public Faults writes() {
		return this.writes;
	}

	/**
	 * Returns the number of reads and lists received.
	 * @return the number
	 */
	public long readCount() {
		return this.readCount.get();
	}

	/**
	 * Returns the number of transactions received, whatever their result.
	 * @return the number
	 */
	public long writeCount() {
		return this.writeCount.get();
	}

	/**
	 * Returns a row without faults and without counting a read.
	 * @param table the table
	 * @param key the key
	 * @return the row, or {@code null} if it is absent
	 */
	public synchronized @Nullable Row row(String table, String key) {
		return rows(table).get(key);
	}

	/**
	 * Returns the number of rows of a table.
	 * @param table the table
	 * @return the number
	 */
	public synchronized int size(String table) {
		return rows(table).size();
	}

	@Override
	public CompletionStage<Fetched<Row>> read(String table, String key) {
		this.readCount.incrementAndGet();
		return this.reads.apply(() -> fetch(table, key), Fetched.Failed::new, Fetched.Failed::new);
	}

	@Override
	public CompletionStage<Fetched<List<Row>>> list(String table, String prefix, int limit) {
		this.readCount.incrementAndGet();
		return this.reads.apply(() -> select(table, prefix, limit), Fetched.Failed::new, Fetched.Failed::new);
	}

	@Override
	public CompletionStage<Commit> commit(List<Operation> operations) {
		if (operations.isEmpty()) {
			throw new IllegalArgumentException("a transaction needs at least one operation");
		}
		List<Operation> copy = List.copyOf(operations);
		this.writeCount.incrementAndGet();
		return this.writes.apply(() -> run(copy), Commit.Refused::new, Commit.Unknown::new);
	}

	private synchronized Fetched<Row> fetch(String table, String key) {
		Row row = rows(table).get(key);
		return (row != null) ? new Fetched.Found<>(row) : new Fetched.Missing<>();
	}

	private synchronized Fetched<List<Row>> select(String table, String prefix, int limit) {
		return new Fetched.Found<>(rows(table).tailMap(prefix)
			.values()
			.stream()
			.takeWhile((row) -> row.key().startsWith(prefix))
			.limit(limit)
			.toList());
	}

	private synchronized Commit run(List<Operation> operations) {
		List<Commit.ConflictRow> conflicts = new ArrayList<>();
		for (int i = 0; i < operations.size(); i++) {
			check(i, operations.get(i), conflicts);
		}
		if (!conflicts.isEmpty()) {
			return new Commit.Conflict(conflicts);
		}
		return new Commit.Committed(operations.stream().map(this::write).toList());
	}

	private void check(int index, Operation operation, List<Commit.ConflictRow> conflicts) {
		Row row = rows(operation.table()).get(operation.key());
		long version = (row != null) ? row.version() : Operation.ABSENT;
		Long expected = operation.expectVersion();
		if (expected != null && expected != version) {
			conflicts.add(new Commit.ConflictRow(index, version, (row != null) ? row.value() : null));
		}
	}

	private long write(Operation operation) {
		Map<String, Row> rows = rows(operation.table());
		Row row = rows.get(operation.key());
		long version = (row != null) ? row.version() : Operation.ABSENT;
		if (operation instanceof Operation.Put put) {
			rows.put(put.key(), new Row(put.table(), put.key(), version + 1, put.value()));
			return version + 1;
		}
		if (operation instanceof Operation.Delete) {
			rows.remove(operation.key());
			return Operation.ABSENT;
		}
		return version;
	}

	private TreeMap<String, Row> rows(String table) {
		return this.tables.computeIfAbsent(table, (name) -> new TreeMap<>());
	}

}
