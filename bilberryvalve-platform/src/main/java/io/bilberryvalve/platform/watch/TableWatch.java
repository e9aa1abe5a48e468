package io.bilberryvalve.platform.watch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.StoreFailure;

/**
 * Follows a table: reads it whole, then its changes, and whole again when the store has
 * dropped its history. A whole read that shows an older version than one seen before is
 * repeated, since a store that recovers may answer with old rows.
 */
public final class TableWatch {

	private static final System.Logger LOGGER = System.getLogger(TableWatch.class.getName());

	/** Changes are answered at once, so that a long wait only saves calls. */
	private static final Duration WAIT = Duration.ofSeconds(25);

	/**
	 * Changes often come in groups; gathering them saves calls and delays them little.
	 */
	private static final long GATHER_MILLIS = 120;

	private static final long FIRST_PAUSE_MILLIS = 150;

	/** Bounds the calls of a daemon during an outage, and the time to notice its end. */
	private static final long LONGEST_PAUSE_MILLIS = 800;

	private final String table;

	private final TableFeed feed;

	private final ScheduledExecutorService timer;

	private final Listener listener;

	private long version;

	private boolean synchronised;

	private boolean lost;

	private long pause = FIRST_PAUSE_MILLIS;

	private volatile long refreshAfter;

	/**
	 * Creates a watch.
	 * @param table the table
	 * @param feed the store
	 * @param timer for pauses after failures
	 * @param listener receives the rows, one call at a time
	 */
	public TableWatch(String table, TableFeed feed, ScheduledExecutorService timer, Listener listener) {
		this.table = table;
		this.feed = feed;
		this.timer = timer;
		this.listener = listener;
	}

	/**
	 * Starts.
	 */
	public void start() {
		this.timer.execute(this::readAll);
	}

	/**
	 * Reads the table once more beside the feed, because others know newer rows.
	 */
	public void refresh() {
		long now = System.nanoTime();
		if (now - this.refreshAfter < 0) {
			return;
		}
		this.refreshAfter = now + TimeUnit.MILLISECONDS.toNanos(LONGEST_PAUSE_MILLIS);
		this.feed.snapshot(this.table).thenAccept((fetched) -> this.timer.execute(() -> {
			if (fetched instanceof Fetched.Found<TableFeed.Snapshot> found && found.value().version() >= this.version) {
				this.listener.refreshed(found.value().rows());
			}
		}));
	}

	private void readAll() {
		this.feed.snapshot(this.table).thenAccept((fetched) -> this.timer.execute(() -> read(fetched)));
	}

	private void read(Fetched<TableFeed.Snapshot> fetched) {
		if (!(fetched instanceof Fetched.Found<TableFeed.Snapshot> found)) {
			failed(fetched, this::readAll);
			return;
		}
		if (found.value().version() < this.version) {
			LogEvent.of("store-answered-old-rows")
				.with("table", this.table)
				.with("version", found.value().version())
				.with("known", this.version)
				.log(LOGGER, System.Logger.Level.WARNING);
			again(this::readAll);
			return;
		}
		available();
		this.version = found.value().version();
		this.listener.replaced(found.value().rows());
		follow();
	}

	private void follow() {
		this.feed.changes(this.table, this.version, WAIT)
			.thenAccept((fetched) -> this.timer.execute(() -> followed(fetched)));
	}

	private void followed(Fetched<TableFeed.Changes> fetched) {
		if (fetched instanceof Fetched.Found<TableFeed.Changes> found) {
			available();
			this.version = Math.max(this.version, found.value().version());
			if (!found.value().changes().isEmpty()) {
				this.listener.changed(found.value().changes());
				this.timer.schedule(this::follow, GATHER_MILLIS, TimeUnit.MILLISECONDS);
			}
			else {
				follow();
			}
		}
		else if (fetched instanceof Fetched.Missing<TableFeed.Changes>) {
			LogEvent.of("store-history-gone")
				.with("table", this.table)
				.with("version", this.version)
				.log(LOGGER, System.Logger.Level.INFO);
			readAll();
		}
		else {
			failed(fetched, this::follow);
		}
	}

	private void failed(Fetched<?> fetched, Runnable next) {
		if (!this.lost) {
			this.lost = true;
			StoreFailure failure = (fetched instanceof Fetched.Failed<?> known) ? known.failure() : null;
			LogEvent.of("store-lost")
				.with("table", this.table)
				.with("version", this.version)
				.with("failure", failure)
				.log(LOGGER, System.Logger.Level.WARNING);
			this.listener.lost();
		}
		again(next);
	}

	private void again(Runnable next) {
		this.timer.schedule(next, this.pause, TimeUnit.MILLISECONDS);
		this.pause = Math.min(LONGEST_PAUSE_MILLIS, this.pause * 2);
	}

	private void available() {
		this.pause = FIRST_PAUSE_MILLIS;
		if (this.lost || !this.synchronised) {
			this.lost = false;
			this.synchronised = true;
			LogEvent.of("store-regained")
				.with("table", this.table)
				.with("version", this.version)
				.log(LOGGER, System.Logger.Level.INFO);
			this.listener.available();
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
		void replaced(List<Row> rows);

		/**
		 * Rows changed.
		 * @param changes the changes in their order
		 */
		void changed(List<TableFeed.Change> changes);

		/**
		 * The table was read once more beside the feed; removed rows may still be shown.
		 * @param rows all rows
		 */
		void refreshed(List<Row> rows);

		/**
		 * The store does not answer.
		 */
		void lost();

		/**
		 * The store answers again, or for the first time.
		 */
		void available();

	}

}
