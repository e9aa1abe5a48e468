package io.bilberryvalve.platform.watch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.StoreFailure;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class TableWatcherTests {

	/** Result with which a read throws. */
	private static final Object THROWING = new Object();

	/** Result with which the stage of a read fails. */
	private static final Object FAILING = new Object();

	private final ScriptedFeed feed = new ScriptedFeed();

	private final ManualScheduler timer = new ManualScheduler();

	private final List<String> events = new ArrayList<>();

	private final TableWatcher watch = new TableWatcher("t", this.feed, this.timer,
			new SharedPollPace(new PollBudget(1, 1), () -> 1, () -> false, Duration.ZERO, Duration.ofSeconds(1)),
			new Recorder());

	private static Row row(String value) {
		return new Row("t", "k", 1, value);
	}

	private static <T> ReadResult<T> failed() {
		return new ReadResult.Failed<>(StoreFailure.of(StoreFailure.Kind.OUTAGE, "down"));
	}

	private static ReadResult<TableFeed.Snapshot> snapshot(long version, String value) {
		return new ReadResult.Found<>(new TableFeed.Snapshot(List.of(row(value)), new StoreVersion(0, version)));
	}

	private static ReadResult<TableFeed.Changes> change(long version, String value) {
		return new ReadResult.Found<>(
				new TableFeed.Changes(List.of(new TableFeed.Change(row(value), false)), new StoreVersion(0, version)));
	}

	@Example
	void readsSnapshotThenChanges() {
		this.feed.snapshots.add(snapshot(5, "one"));
		this.feed.changes.add(change(7, "two"));
		this.watch.start();
		this.timer.runAll();
		assertThat(this.events).containsExactly("available", "replaced one", "changed two");
		assertThat(this.feed.after).containsExactly(5L, 7L);
	}

	// Guards against a watcher that stops reading changes after an outage of the store.
	@Example
	void resumesAtTheKnownVersionAfterAnOutage() {
		this.feed.snapshots.add(snapshot(5, "one"));
		this.feed.changes.add(failed());
		this.feed.changes.add(failed());
		this.feed.changes.add(change(9, "two"));
		this.watch.start();
		this.timer.runAll();
		assertThat(this.events).containsExactly("available", "replaced one", "lost", "available", "changed two");
		assertThat(this.feed.after).containsExactly(5L, 5L, 5L, 9L);
	}

	// Guards against missed changes when the store no longer has the history since the
	// known version.
	@Example
	void readsSnapshotWhenTheHistoryIsGone() {
		this.feed.snapshots.add(snapshot(5, "one"));
		this.feed.changes.add(new ReadResult.Missing<>());
		this.feed.snapshots.add(snapshot(30, "two"));
		this.watch.start();
		this.timer.runAll();
		assertThat(this.events).containsExactly("available", "replaced one", "replaced two");
		assertThat(this.feed.after).containsExactly(5L, 30L);
	}

	// Guards against older rows that replace newer ones when a recovering store returns
	// an older snapshot.
	@Example
	void discardsSnapshotOlderThanTheKnownVersion() {
		this.feed.snapshots.add(snapshot(5, "one"));
		this.feed.changes.add(change(20, "two"));
		this.feed.changes.add(new ReadResult.Missing<>());
		this.feed.snapshots.add(snapshot(12, "old"));
		this.feed.snapshots.add(snapshot(21, "three"));
		this.watch.start();
		this.timer.runAll();
		assertThat(this.events).containsExactly("available", "replaced one", "changed two", "replaced three");
	}

	// Guards against a watcher that never reads again after its listener failed on a row.
	@Example
	void continuesAfterAListenerFailed() {
		this.feed.snapshots.add(snapshot(5, "bad"));
		this.feed.changes.add(change(7, "bad"));
		this.feed.changes.add(failed());
		this.feed.changes.add(change(9, "two"));
		this.watch.start();
		this.timer.runAll();
		assertThat(this.events).containsExactly("available", "lost", "available", "changed two");
		assertThat(this.feed.after).containsExactly(5L, 7L, 7L, 9L);
	}

	// Guards against a watcher that never reads again after an answer that the store
	// client could not handle.
	@Example
	void continuesAfterTheStoreClientFailed() {
		this.feed.snapshots.add(FAILING);
		this.feed.snapshots.add(snapshot(5, "one"));
		this.feed.changes.add(THROWING);
		this.feed.changes.add(FAILING);
		this.feed.changes.add(change(9, "two"));
		this.watch.start();
		this.timer.runAll();
		assertThat(this.events).containsExactly("lost", "available", "replaced one", "lost", "available",
				"changed two");
	}

	// Guards against a failed refresh that stops the timer of the watcher.
	@Example
	void refreshThatFailsHasNoEffect() {
		this.feed.snapshots.add(snapshot(5, "one"));
		this.feed.snapshots.add(THROWING);
		this.watch.start();
		this.timer.runAvailable();
		this.watch.refresh();
		this.timer.runAll();
		assertThat(this.events).containsExactly("available", "replaced one");
	}

	// Guards against a change that is noticed only at the next poll although another
	// daemon has told of it.
	@Example
	void readsChangesEarlyOnceTheyAreKnown() {
		this.feed.snapshots.add(snapshot(5, "one"));
		this.feed.changes.add(change(7, "two"));
		this.feed.changes.add(change(9, "three"));
		this.watch.start();
		this.timer.runUndelayed();
		assertThat(this.feed.after).containsExactly(5L);
		this.watch.catchUp(new StoreVersion(0, 7));
		this.timer.runUndelayed();
		assertThat(this.feed.after).as("a known version").containsExactly(5L);
		this.watch.catchUp(new StoreVersion(0, 8));
		this.timer.runUndelayed();
		assertThat(this.feed.after).containsExactly(5L, 7L);
		assertThat(this.events).endsWith("changed two", "changed three");
	}

	// Guards against a read for each message of a daemon that reports a version which the
	// store does not have.
	@Example
	void wrongVersionCausesOneRead() {
		this.feed.snapshots.add(snapshot(5, "one"));
		this.feed.changes.add(change(7, "two"));
		this.feed.changes.add(change(9, "three"));
		this.feed.changes.add(change(11, "four"));
		this.watch.start();
		this.timer.runUndelayed();
		for (int i = 0; i < 3; i++) {
			this.watch.catchUp(new StoreVersion(0, Long.MAX_VALUE));
			this.timer.runUndelayed();
		}
		assertThat(this.feed.after).containsExactly(5L, 7L);
	}

	// Guards against an older state of a row that replaces the one in a snapshot whose
	// last part was read later than its first one.
	@Example
	void leavesOutChangesOlderThanTheRowInTheSnapshot() {
		Row late = new Row("t", "k", 8, "three");
		this.feed.snapshots.add(new ReadResult.Found<>(new TableFeed.Snapshot(List.of(late), new StoreVersion(0, 5))));
		this.feed.changes.add(change(new Row("t", "k", 6, "two"), 6));
		this.feed.changes.add(change(new Row("t", "k", 8, "three"), 8));
		this.feed.changes.add(change(new Row("t", "k", 9, "four"), 9));
		this.watch.start();
		this.timer.runAll();
		assertThat(this.events).containsExactly("available", "replaced three", "changed three", "changed four");
		assertThat(this.feed.after).containsExactly(5L, 6L, 8L, 9L);
	}

	private static ReadResult<TableFeed.Changes> change(Row row, long version) {
		return new ReadResult.Found<>(
				new TableFeed.Changes(List.of(new TableFeed.Change(row, false)), new StoreVersion(0, version)));
	}

	private final class Recorder implements TableWatcher.Listener {

		@Override
		public void onSnapshot(List<Row> rows, StoreVersion version) {
			check(rows.get(0));
			TableWatcherTests.this.events.add("replaced " + rows.get(0).value());
		}

		@Override
		public void onChanges(List<TableFeed.Change> changes, StoreVersion version) {
			check(changes.get(0).row());
			TableWatcherTests.this.events.add("changed " + changes.get(0).row().value());
		}

		private static void check(Row row) {
			if (row.value().equals("bad")) {
				throw new IllegalStateException("the row cannot be applied");
			}
		}

		@Override
		public void onRefresh(List<Row> rows) {
			TableWatcherTests.this.events.add("refreshed");
		}

		@Override
		public void onUnavailable() {
			TableWatcherTests.this.events.add("lost");
		}

		@Override
		public void onAvailable() {
			TableWatcherTests.this.events.add("available");
		}

	}

	/**
	 * Store that returns scripted results, and after the last one leaves reads pending.
	 */
	private static final class ScriptedFeed implements TableFeed {

		private final Deque<Object> snapshots = new ArrayDeque<>();

		private final Deque<Object> changes = new ArrayDeque<>();

		private final List<Long> after = new ArrayList<>();

		@SuppressWarnings("unchecked")
		private static <T> CompletionStage<ReadResult<T>> next(Deque<Object> script) {
			Object next = script.poll();
			if (next == THROWING) {
				throw new IllegalStateException("the read cannot be sent");
			}
			if (next == FAILING) {
				return CompletableFuture.failedFuture(new IllegalStateException("the answer cannot be decoded"));
			}
			return (next != null) ? CompletableFuture.completedFuture((ReadResult<T>) next) : new CompletableFuture<>();
		}

		@Override
		public CompletionStage<ReadResult<Snapshot>> snapshot(String table) {
			return next(this.snapshots);
		}

		@Override
		public CompletionStage<ReadResult<Changes>> changes(String table, StoreVersion version, Duration wait) {
			this.after.add(version.version());
			return next(this.changes);
		}

	}

}
