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

	private final ScriptedFeed feed = new ScriptedFeed();

	private final ManualScheduler timer = new ManualScheduler();

	private final List<String> events = new ArrayList<>();

	private final TableWatcher watch = new TableWatcher("t", this.feed, this.timer, () -> Duration.ofSeconds(1),
			new Recorder());

	private static Row row(String value) {
		return new Row("t", "k", 1, value);
	}

	private static <T> ReadResult<T> failed() {
		return new ReadResult.Failed<>(StoreFailure.of(StoreFailure.Kind.OUTAGE, "down"));
	}

	private static ReadResult<TableFeed.Snapshot> snapshot(long version, String value) {
		return new ReadResult.Found<>(new TableFeed.Snapshot(List.of(row(value)), version));
	}

	private static ReadResult<TableFeed.Changes> change(long version, String value) {
		return new ReadResult.Found<>(new TableFeed.Changes(List.of(new TableFeed.Change(row(value), false)), version));
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

	private final class Recorder implements TableWatcher.Listener {

		@Override
		public void onSnapshot(List<Row> rows) {
			TableWatcherTests.this.events.add("replaced " + rows.get(0).value());
		}

		@Override
		public void onChanges(List<TableFeed.Change> changes) {
			TableWatcherTests.this.events.add("changed " + changes.get(0).row().value());
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

		private final Deque<ReadResult<Snapshot>> snapshots = new ArrayDeque<>();

		private final Deque<ReadResult<Changes>> changes = new ArrayDeque<>();

		private final List<Long> after = new ArrayList<>();

		private static <T> CompletionStage<ReadResult<T>> next(Deque<ReadResult<T>> script) {
			ReadResult<T> next = script.poll();
			return (next != null) ? CompletableFuture.completedFuture(next) : new CompletableFuture<>();
		}

		@Override
		public CompletionStage<ReadResult<Snapshot>> snapshot(String table) {
			return next(this.snapshots);
		}

		@Override
		public CompletionStage<ReadResult<Changes>> changes(String table, long version, Duration wait) {
			this.after.add(version);
			return next(this.changes);
		}

	}

}
