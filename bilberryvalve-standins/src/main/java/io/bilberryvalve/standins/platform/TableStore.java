package io.bilberryvalve.standins.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Tables with versioned rows and atomic transactions. Versions come from one counter, so
 * that a row that is removed and written again never has an earlier version.
 */
final class TableStore {

	private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

	private long lastVersion;

	/**
	 * Reads a row.
	 * @param table the table
	 * @param key key of the row
	 * @return the row, or {@code null} if it is absent
	 */
	synchronized @Nullable Row read(String table, String key) {
		TreeMap<String, Row> rows = this.tables.get(table);
		return (rows != null) ? rows.get(key) : null;
	}

	/**
	 * Reads the rows whose keys start with a prefix.
	 * @param table the table
	 * @param prefix the prefix
	 * @param limit largest number of rows
	 * @return the rows in the order of their keys
	 */
	synchronized List<KeyedRow> list(String table, String prefix, long limit) {
		List<KeyedRow> found = new ArrayList<>();
		TreeMap<String, Row> rows = this.tables.getOrDefault(table, new TreeMap<>());
		for (Map.Entry<String, Row> entry : rows.tailMap(prefix, true).entrySet()) {
			if (found.size() >= limit || !entry.getKey().startsWith(prefix)) {
				break;
			}
			found.add(new KeyedRow(entry.getKey(), entry.getValue().version(), entry.getValue().value()));
		}
		return found;
	}

	/**
	 * Executes a transaction if every row has its expected version.
	 * @param transaction the transaction
	 * @return the new versions or the conflicts
	 */
	synchronized Transaction.Effect execute(Transaction transaction) {
		List<Transaction.Conflict> conflicts = conflicts(transaction);
		if (!conflicts.isEmpty()) {
			return new Transaction.Effect(List.of(), conflicts);
		}
		List<Long> versions = new ArrayList<>();
		for (Transaction.Operation operation : transaction.operations()) {
			versions.add(apply(operation));
		}
		return new Transaction.Effect(versions, List.of());
	}

	private List<Transaction.Conflict> conflicts(Transaction transaction) {
		List<Transaction.Conflict> conflicts = new ArrayList<>();
		List<Transaction.Operation> operations = transaction.operations();
		for (int i = 0; i < operations.size(); i++) {
			Transaction.Operation operation = operations.get(i);
			Row row = read(operation.table(), operation.key());
			long version = (row != null) ? row.version() : 0;
			Long expected = operation.expectVersion();
			if (expected != null && expected != version) {
				conflicts.add(new Transaction.Conflict(i, version, (row != null) ? row.value() : null));
			}
		}
		return conflicts;
	}

	private long apply(Transaction.Operation operation) {
		TreeMap<String, Row> rows = this.tables.computeIfAbsent(operation.table(), (table) -> new TreeMap<>());
		if (operation.op() == Transaction.Kind.DELETE) {
			rows.remove(operation.key());
			return 0;
		}
		String value = operation.value();
		if (operation.op() == Transaction.Kind.PUT && value != null) {
			rows.put(operation.key(), new Row(++this.lastVersion, value));
			return this.lastVersion;
		}
		Row row = rows.get(operation.key());
		return (row != null) ? row.version() : 0;
	}

	/**
	 * A row.
	 *
	 * @param version version, from 1
	 * @param value the value
	 */
	record Row(long version, String value) {

	}

	/**
	 * A row with its key.
	 *
	 * @param key the key
	 * @param version version, from 1
	 * @param value the value
	 */
	record KeyedRow(String key, long version, String value) {

	}

}
