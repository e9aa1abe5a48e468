package io.bilberryvalve.platform.watch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.memory.InMemoryStore;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that the rows which a listener received are those of a store that was restored
 * from a copy.
 */
class RestoredStoreTests {

	private final InMemoryStore store = new InMemoryStore();

	private final StoreEra storeEra = new StoreEra();

	private final ClientOfStore client = new ClientOfStore();

	private final ManualScheduler timer = new ManualScheduler();

	private final Mirror mirror = new Mirror();

	private final TableWatcher watcher = watcher("t", this.mirror);

	private TableWatcher watcher(String table, TableWatcher.Listener listener) {
		return new TableWatcher(table, this.client, this.timer,
				new SharedPollPace(new PollBudget(1, 1), () -> 1, () -> false, Duration.ZERO, Duration.ofSeconds(1)),
				listener, this.storeEra);
	}

	private void start() {
		this.watcher.start();
		this.timer.runAvailable();
	}

	// Guards against rows that are never read because the versions of the restored store
	// are below the known one.
	@Example
	void rowsAreReadAgainWhenVersionsAreBehind() {
		this.store.put("t", "a", "1");
		InMemoryStore.Copy copy = this.store.copy();
		this.store.put("t", "a", "2");
		this.store.put("t", "b", "2");
		start();
		assertThat(this.mirror.rows).isEqualTo(Map.of("a", "2", "b", "2"));
		this.store.endPolls("t");
		this.store.restore(copy);
		this.timer.runAvailable();
		assertThat(this.mirror.rows).isEqualTo(Map.of("a", "1"));
		this.store.put("t", "a", "3");
		this.timer.runAvailable();
		assertThat(this.mirror.rows).isEqualTo(Map.of("a", "3"));
		assertThat(this.mirror.outages).isZero();
	}

	// Guards against rows that are missed or kept because the versions of the restored
	// store have passed the known one when the watcher asks again.
	@Example
	void rowsAreReadAgainWhenVersionsAreAhead() {
		this.store.put("t", "a", "1");
		InMemoryStore.Copy copy = this.store.copy();
		this.store.put("t", "lost", "2");
		start();
		this.store.endPolls("t");
		this.store.restore(copy);
		this.store.put("t", "a", "3");
		this.store.put("t", "b", "4");
		this.store.put("t", "c", "5");
		this.timer.runAvailable();
		assertThat(this.mirror.rows).isEqualTo(Map.of("a", "3", "b", "4", "c", "5"));
	}

	// Guards against a change that is noticed only when a poll of the era before ends,
	// although another response has shown the later era.
	@Example
	void silentPollDoesNotDelayTheSnapshotOnceAnotherResponseShowsTheEra() {
		this.store.put("t", "a", "1");
		start();
		this.store.restore(this.store.copy());
		this.store.put("t", "a", "2");
		this.storeEra.observe(1);
		this.timer.runUndelayed();
		assertThat(this.mirror.rows).isEqualTo(Map.of("a", "2"));
	}

	// Guards against a table that keeps old rows because only another table was read.
	@Example
	void eraSeenByOneTableIsUsedForAll() {
		Mirror other = new Mirror();
		watcher("u", other).start();
		this.store.put("t", "a", "1");
		this.store.put("u", "a", "1");
		InMemoryStore.Copy copy = this.store.copy();
		start();
		this.store.restore(copy);
		this.store.put("u", "a", "2");
		this.watcher.refresh();
		this.timer.runAvailable();
		assertThat(other.rows).isEqualTo(Map.of("a", "2"));
	}

	// Guards against rows of the first of two restores that replace those of the second
	// one.
	@Example
	void twoRestoresInQuickSuccessionEndWithTheRowsOfTheSecond() {
		this.store.put("t", "a", "1");
		InMemoryStore.Copy copy = this.store.copy();
		start();
		this.store.restore(copy);
		this.store.put("t", "a", "first");
		this.client.holdSnapshots = true;
		this.storeEra.observe(1);
		this.timer.runUndelayed();
		this.store.restore(copy);
		this.store.put("t", "a", "second");
		this.client.holdSnapshots = false;
		this.storeEra.observe(2);
		this.timer.runUndelayed();
		this.client.release();
		this.timer.runAvailable();
		assertThat(this.mirror.rows).isEqualTo(Map.of("a", "second"));
		assertThat(this.mirror.versions).extracting(StoreVersion::era).containsExactly(0L, 2L);
	}

	// Guards against a first snapshot of an era that has ended while it was under way.
	@Example
	void firstSnapshotOfAnEarlierEraIsDiscarded() {
		this.store.put("t", "a", "1");
		this.client.holdSnapshots = true;
		start();
		this.store.restore(this.store.copy());
		this.store.put("t", "a", "2");
		this.storeEra.observe(1);
		this.client.holdSnapshots = false;
		this.client.release();
		this.timer.runAvailable();
		assertThat(this.mirror.versions).extracting(StoreVersion::era).containsExactly(1L);
		assertThat(this.mirror.rows).isEqualTo(Map.of("a", "2"));
	}

	// Guards against changes of the era before that arrive after the snapshot of the new
	// one.
	@Example
	void lateChangesOfTheEarlierEraAreDiscarded() {
		this.store.put("t", "a", "1");
		InMemoryStore.Copy copy = this.store.copy();
		this.client.holdChanges = true;
		start();
		this.store.put("t", "a", "lost");
		this.client.holdChanges = false;
		this.store.restore(copy);
		this.storeEra.observe(1);
		this.timer.runUndelayed();
		this.client.release();
		this.timer.runAvailable();
		assertThat(this.mirror.rows).isEqualTo(Map.of("a", "1"));
	}

	// Guards against changes that are left out because a row of the era before had a
	// higher version.
	@Example
	void versionsOfRowsInTheEarlierEraLeaveNoChangesOut() {
		this.client.scripted = true;
		this.client.snapshots.add(snapshot(0, 5, new Row("t", "a", 8, "ahead")));
		this.client.snapshots.add(snapshot(1, 3, new Row("t", "a", 2, "restored")));
		this.client.changes.add(new TableFeed.Changes(List.of(new TableFeed.Change(new Row("t", "a", 4, "new"), false)),
				new StoreVersion(1, 4)));
		this.client.holdChanges = true;
		start();
		this.client.holdChanges = false;
		this.storeEra.observe(1);
		this.timer.runAvailable();
		assertThat(this.mirror.rows).isEqualTo(Map.of("a", "new"));
	}

	private static TableFeed.Snapshot snapshot(long era, long version, Row row) {
		return new TableFeed.Snapshot(List.of(row), new StoreVersion(era, version));
	}

	// Guards against a daemon that waits for its own poll although another daemon has
	// reported a change of a later era, and against a read for each such report.
	@Example
	void reportOfALaterEraCausesOneSnapshot() {
		this.store.put("t", "a", "1");
		start();
		this.store.restore(this.store.copy());
		this.store.put("t", "a", "2");
		this.watcher.catchUp(new StoreVersion(1, 1));
		this.timer.runUndelayed();
		assertThat(this.mirror.rows).isEqualTo(Map.of("a", "2"));
		int read = this.client.snapshotCount;
		for (int i = 0; i < 3; i++) {
			this.watcher.catchUp(new StoreVersion(9, 1));
			this.timer.runUndelayed();
		}
		assertThat(this.client.snapshotCount).isEqualTo(read + 1);
		assertThat(this.storeEra.current()).as("only the store states its era").isEqualTo(1);
	}

	/** Rows as a listener receives them. */
	private static final class Mirror implements TableWatcher.Listener {

		private final Map<String, String> rows = new TreeMap<>();

		private final List<StoreVersion> versions = new ArrayList<>();

		private int outages;

		@Override
		public void onSnapshot(List<Row> snapshot, StoreVersion version) {
			this.rows.clear();
			snapshot.forEach((row) -> this.rows.put(row.key(), row.value()));
			this.versions.add(version);
		}

		@Override
		public void onChanges(List<TableFeed.Change> changes, StoreVersion version) {
			for (TableFeed.Change change : changes) {
				if (change.removed()) {
					this.rows.remove(change.row().key());
				}
				else {
					this.rows.put(change.row().key(), change.row().value());
				}
			}
		}

		@Override
		public void onRefresh(List<Row> refreshed) {
		}

		@Override
		public void onUnavailable() {
			this.outages++;
		}

		@Override
		public void onAvailable() {
		}

	}

	/**
	 * Client that records the era of each response and can hold responses back.
	 */
	private final class ClientOfStore implements TableFeed {

		/** Scripted snapshots, which are returned before those of the store. */
		private final List<TableFeed.Snapshot> snapshots = new ArrayList<>();

		/** Scripted changes, which are returned before those of the store. */
		private final List<TableFeed.Changes> changes = new ArrayList<>();

		private final List<Runnable> held = new ArrayList<>();

		/** Whether only scripted responses are given. */
		private boolean scripted;

		private boolean holdSnapshots;

		private boolean holdChanges;

		private int snapshotCount;

		@Override
		public CompletionStage<ReadResult<Snapshot>> snapshot(String table) {
			this.snapshotCount++;
			if (!this.snapshots.isEmpty()) {
				return CompletableFuture.completedFuture(new ReadResult.Found<>(this.snapshots.remove(0)));
			}
			return pass(RestoredStoreTests.this.store.snapshot(table), this.holdSnapshots);
		}

		@Override
		public CompletionStage<ReadResult<Changes>> changes(String table, StoreVersion after, Duration wait) {
			if (!this.changes.isEmpty() && !this.holdChanges) {
				return CompletableFuture.completedFuture(new ReadResult.Found<>(this.changes.remove(0)));
			}
			if (this.scripted) {
				return new CompletableFuture<>();
			}
			return pass(RestoredStoreTests.this.store.changes(table, after, wait), this.holdChanges);
		}

		private <T> CompletionStage<ReadResult<T>> pass(CompletionStage<ReadResult<T>> response, boolean hold) {
			CompletableFuture<ReadResult<T>> passed = new CompletableFuture<>();
			response.thenAccept((result) -> {
				Runnable delivery = () -> {
					RestoredStoreTests.this.storeEra.observe(era(result));
					passed.complete(result);
				};
				if (hold) {
					this.held.add(delivery);
				}
				else {
					delivery.run();
				}
			});
			return passed;
		}

		private static long era(ReadResult<?> result) {
			return (result instanceof ReadResult.Found<?> found) ? found.era() : ((ReadResult.Missing<?>) result).era();
		}

		private void release() {
			List.copyOf(this.held).forEach(Runnable::run);
			this.held.clear();
		}

	}

}
