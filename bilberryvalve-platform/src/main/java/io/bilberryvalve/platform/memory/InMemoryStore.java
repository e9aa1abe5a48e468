package io.bilberryvalve.platform.memory;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.platform.watch.TableFeed;
import org.jspecify.annotations.Nullable;

/**
 * Store in memory with one version for all tables, a feed of changes, and copies from
 * which it can be restored. A read of changes after a version that it does not have
 * returns {@link ReadResult.Missing}. Safe for use by several threads; stages may
 * complete on the thread of another call.
 */
public final class InMemoryStore implements TableService, TableFeed {

	private final List<Poll> polls = new ArrayList<>();

	private Content content = new Content();

	private long era;

	/**
	 * Returns the era and the version of the last transaction.
	 * @return the version of the store
	 */
	public synchronized StoreVersion version() {
		return new StoreVersion(this.era, this.content.version);
	}

	/**
	 * Copies all rows and their history.
	 * @return the copy, which later writes do not change
	 */
	public synchronized Copy copy() {
		return new Copy(this.content.copy());
	}

	/**
	 * Replaces all content by that of a copy and starts a new era. Polls that wait for a
	 * change never end, like those whose connections have gone silent.
	 * @param copy copy of this store
	 */
	public synchronized void restore(Copy copy) {
		this.content = copy.content.copy();
		this.era++;
		this.polls.clear();
	}

	/**
	 * Writes a row, whatever its version.
	 * @param table name of the table
	 * @param key key of the row
	 * @param value the new value
	 * @return version of the row
	 */
	public long put(String table, String key, String value) {
		CommitResult result = run(List.of(new RowOperation.Put(table, key, null, value)));
		return ((CommitResult.Committed) result).versions().get(0);
	}

	/**
	 * Returns the present value of a row.
	 * @param table name of the table
	 * @param key key of the row
	 * @return the value, or {@code null} if the row is absent
	 */
	public synchronized @Nullable String value(String table, String key) {
		Row row = this.content.rows(table).get(key);
		return (row != null) ? row.value() : null;
	}

	/**
	 * Ends the polls of a table that wait, with no changes.
	 * @param table name of the table
	 */
	public void endPolls(String table) {
		takePolls(table).forEach((poll) -> poll.answer.complete(changes(poll)));
	}

	private synchronized List<Poll> takePolls(String table) {
		List<Poll> taken = this.polls.stream().filter((poll) -> poll.table.equals(table)).toList();
		this.polls.removeAll(taken);
		return taken;
	}

	@Override
	public synchronized CompletionStage<ReadResult<Row>> read(String table, String key) {
		Row row = this.content.rows(table).get(key);
		return completed((row != null) ? new ReadResult.Found<>(row, this.era) : new ReadResult.Missing<>(this.era));
	}

	@Override
	public synchronized CompletionStage<ReadResult<List<Row>>> list(String table, String prefix, int limit) {
		return completed(new ReadResult.Found<>(this.content.rows(table)
			.values()
			.stream()
			.filter((row) -> row.key().startsWith(prefix))
			.limit(limit)
			.toList(), this.era));
	}

	@Override
	public synchronized CompletionStage<ReadResult<Snapshot>> snapshot(String table) {
		return completed(new ReadResult.Found<>(new Snapshot(List.copyOf(this.content.rows(table).values()), version()),
				this.era));
	}

	/**
	 * Reads the changes of a table. The wait has no limit here; {@link #endPolls} ends
	 * it.
	 */
	@Override
	public synchronized CompletionStage<ReadResult<Changes>> changes(String table, StoreVersion after, Duration wait) {
		Poll poll = new Poll(table, after.version(), new CompletableFuture<>());
		if (after.version() > this.content.version) {
			return completed(new ReadResult.Missing<>(this.era));
		}
		ReadResult.Found<Changes> found = changes(poll);
		if (!found.value().changes().isEmpty()) {
			return completed(found);
		}
		this.polls.add(poll);
		return poll.answer;
	}

	private synchronized ReadResult.Found<Changes> changes(Poll poll) {
		List<Change> changes = this.content.history.stream()
			.filter((change) -> change.row().table().equals(poll.table) && change.row().version() > poll.after)
			.toList();
		return new ReadResult.Found<>(new Changes(changes, version()), this.era);
	}

	@Override
	public CompletionStage<CommitResult> commit(List<RowOperation> operations) {
		return CompletableFuture.completedFuture(run(List.copyOf(operations)));
	}

	private CommitResult run(List<RowOperation> operations) {
		CommitResult result = apply(operations);
		if (result instanceof CommitResult.Committed) {
			operations.stream().map(RowOperation::table).distinct().forEach(this::endPolls);
		}
		return result;
	}

	private synchronized CommitResult apply(List<RowOperation> operations) {
		List<CommitResult.ConflictRow> conflicts = new ArrayList<>();
		for (int i = 0; i < operations.size(); i++) {
			RowOperation operation = operations.get(i);
			Row row = this.content.rows(operation.table()).get(operation.key());
			long version = (row != null) ? row.version() : RowOperation.ABSENT;
			Long expected = operation.expectedVersion();
			if (expected != null && expected != version) {
				conflicts.add(new CommitResult.ConflictRow(i, version, (row != null) ? row.value() : null));
			}
		}
		if (!conflicts.isEmpty()) {
			return new CommitResult.Conflict(conflicts, this.era);
		}
		this.content.version++;
		operations.forEach(this.content::write);
		return new CommitResult.Committed(operations.stream().map((operation) -> this.content.version).toList(),
				this.era);
	}

	private static <T> CompletionStage<T> completed(T value) {
		return CompletableFuture.completedFuture(value);
	}

	/**
	 * Content of a store at one time.
	 */
	public static final class Copy {

		private final Content content;

		private Copy(Content content) {
			this.content = content;
		}

	}

	private static final class Content {

		private final Map<String, TreeMap<String, Row>> tables = new HashMap<>();

		private final List<Change> history = new ArrayList<>();

		private long version;

		private TreeMap<String, Row> rows(String table) {
			return this.tables.computeIfAbsent(table, (name) -> new TreeMap<>());
		}

		private void write(RowOperation operation) {
			if (operation instanceof RowOperation.Put put) {
				Row row = new Row(put.table(), put.key(), this.version, put.value());
				rows(put.table()).put(put.key(), row);
				this.history.add(new Change(row, false));
			}
			else if (operation instanceof RowOperation.Delete
					&& rows(operation.table()).remove(operation.key()) != null) {
				this.history.add(new Change(new Row(operation.table(), operation.key(), this.version, ""), true));
			}
		}

		private Content copy() {
			Content copy = new Content();
			this.tables.forEach((table, rows) -> copy.tables.put(table, new TreeMap<>(rows)));
			copy.history.addAll(this.history);
			copy.version = this.version;
			return copy;
		}

	}

	/**
	 * A read of changes that waits.
	 *
	 * @param table name of the table
	 * @param after version up to which the changes are known
	 * @param answer completes at the end of the wait
	 */
	private record Poll(String table, long after, CompletableFuture<ReadResult<Changes>> answer) {

	}

}
