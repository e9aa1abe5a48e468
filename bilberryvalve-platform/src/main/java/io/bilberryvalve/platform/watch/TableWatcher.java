package io.bilberryvalve.platform.watch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.StoreFailure;

/**
 * Follows a table: reads it whole, then its changes, and whole again when the store has
 * dropped its history. A whole read that shows an older version than one seen before is
 * repeated, since a store that recovers may answer with old rows.
 */
public final class TableWatcher {

	private static final System.Logger LOGGER = System.getLogger(TableWatcher.class.getName());

	/** Changes are answered at once, so that a long wait only saves calls. */
	private static final Duration LONG_POLL_TIMEOUT = Duration.ofSeconds(25);

	/**
	 * Changes often come in groups; gathering them saves calls and delays them little.
	 */
	private static final long BATCH_DELAY_MILLIS = 120;

	private static final long INITIAL_BACKOFF_MILLIS = 150;

	/** Bounds the calls of a daemon during an outage, and the time to notice its end. */
	private static final long MAX_BACKOFF_MILLIS = 800;

	private final String table;

	private final TableFeed feed;

	private final ScheduledExecutorService timer;

	private final Listener listener;

	private long version;

	private boolean loaded;

	private boolean unavailable;

	private long backoffMillis = INITIAL_BACKOFF_MILLIS;

	private volatile long nextRefreshNanos;

	/**
	 * Creates a watch.
	 * @param table the table
	 * @param feed the store
	 * @param timer for pauses after failures
	 * @param listener receives the rows, one call at a time
	 */
	public TableWatcher(String table, TableFeed feed, ScheduledExecutorService timer, Listener listener) {
		this.table = table;
		this.feed = feed;
		this.timer = timer;
		this.listener = listener;
	}

	/**
	 * Starts.
	 */
	public void start() {
		this.timer.execute(this::readSnapshot);
	}

	/**
	 * Reads the table once more beside the feed, because others know newer rows.
	 */
	public void refresh() {
		long now = System.nanoTime();
		if (now - this.nextRefreshNanos < 0) {
			return;
		}
		this.nextRefreshNanos = now + TimeUnit.MILLISECONDS.toNanos(MAX_BACKOFF_MILLIS);
		this.feed.snapshot(this.table).thenAccept((fetched) -> this.timer.execute(() -> {
			if (fetched instanceof ReadResult.Found<TableFeed.Snapshot> found
					&& found.value().version() >= this.version) {
				this.listener.onRefresh(found.value().rows());
			}
		}));
	}

	private void readSnapshot() {
		this.feed.snapshot(this.table).thenAccept((fetched) -> this.timer.execute(() -> handleSnapshot(fetched)));
	}

	private void handleSnapshot(ReadResult<TableFeed.Snapshot> fetched) {
		if (!(fetched instanceof ReadResult.Found<TableFeed.Snapshot> found)) {
			handleFailure(fetched, this::readSnapshot);
			return;
		}
		if (found.value().version() < this.version) {
			LogEvent.of("store-answered-old-rows")
				.with("table", this.table)
				.with("version", found.value().version())
				.with("known", this.version)
				.log(LOGGER, System.Logger.Level.WARNING);
			retry(this::readSnapshot);
			return;
		}
		recordAvailable();
		this.version = found.value().version();
		this.listener.onSnapshot(found.value().rows());
		readChanges();
	}

	private void readChanges() {
		this.feed.changes(this.table, this.version, LONG_POLL_TIMEOUT)
			.thenAccept((fetched) -> this.timer.execute(() -> handleChanges(fetched)));
	}

	private void handleChanges(ReadResult<TableFeed.Changes> fetched) {
		if (fetched instanceof ReadResult.Found<TableFeed.Changes> found) {
			recordAvailable();
			this.version = Math.max(this.version, found.value().version());
			if (!found.value().changes().isEmpty()) {
				this.listener.onChanges(found.value().changes());
				this.timer.schedule(this::readChanges, BATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
			else {
				readChanges();
			}
		}
		else if (fetched instanceof ReadResult.Missing<TableFeed.Changes>) {
			LogEvent.of("store-history-gone")
				.with("table", this.table)
				.with("version", this.version)
				.log(LOGGER, System.Logger.Level.INFO);
			readSnapshot();
		}
		else {
			handleFailure(fetched, this::readChanges);
		}
	}

	private void handleFailure(ReadResult<?> fetched, Runnable next) {
		if (!this.unavailable) {
			this.unavailable = true;
			StoreFailure failure = (fetched instanceof ReadResult.Failed<?> known) ? known.failure() : null;
			LogEvent.of("store-lost")
				.with("table", this.table)
				.with("version", this.version)
				.with("failure", failure)
				.log(LOGGER, System.Logger.Level.WARNING);
			this.listener.onUnavailable();
		}
		retry(next);
	}

	private void retry(Runnable next) {
		this.timer.schedule(next, this.backoffMillis, TimeUnit.MILLISECONDS);
		this.backoffMillis = Math.min(MAX_BACKOFF_MILLIS, this.backoffMillis * 2);
	}

	private void recordAvailable() {
		this.backoffMillis = INITIAL_BACKOFF_MILLIS;
		if (this.unavailable || !this.loaded) {
			this.unavailable = false;
			this.loaded = true;
			LogEvent.of("store-regained")
				.with("table", this.table)
				.with("version", this.version)
				.log(LOGGER, System.Logger.Level.INFO);
			this.listener.onAvailable();
		}
	}

	/**
	 * Receives the rows of a table.
	 */
	public interface Listener {

		/**
		 * The whole table was read.
		 * @param rows all rows
		 */
		void onSnapshot(List<Row> rows);

		/**
		 * Rows changed.
		 * @param changes the changes in their order
		 */
		void onChanges(List<TableFeed.Change> changes);

		/**
		 * The table was read once more beside the feed; removed rows may still be shown.
		 * @param rows all rows
		 */
		void onRefresh(List<Row> rows);

		/**
		 * The store does not answer.
		 */
		void onUnavailable();

		/**
		 * The store answers again, or for the first time.
		 */
		void onAvailable();

	}

}
