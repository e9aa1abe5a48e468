package io.bilberryvalve.platform.watch;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.model.task.GuardedTask;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.StoreFailure;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a listener informed of the rows of a table. The watcher reads a snapshot and then
 * the changes after it, and reads a new snapshot when the store no longer has the history
 * that it needs. A snapshot with an older version than one seen before is discarded and
 * read again, since a store that recovers may return old rows. When any response of the
 * store states a later era, whatever its table, the watcher abandons the read in progress
 * and reads a snapshot, whose version replaces the known one even if its number is lower.
 * Results of an earlier era are discarded. A snapshot that was read in several parts may
 * contain rows that are later than its version; older changes of them are left out.
 * Neither a read that throws nor a listener that throws stops the watcher. State and
 * listener are confined to the timer, which must run one task at a time; {@link #start()}
 * and {@link #refresh()} may be called from other threads.
 */
public final class TableWatcher {

	private static final System.Logger LOGGER = System.getLogger(TableWatcher.class.getName());

	private static final long INITIAL_BACKOFF_MILLIS = 150;

	/**
	 * Longest delay between retries, which limits both the calls of a daemon during an
	 * outage and the time until it notices the end. Also the least time between two
	 * refreshes.
	 */
	private static final long MAX_BACKOFF_MILLIS = 800;

	private final String table;

	private final TableFeed feed;

	private final ScheduledExecutorService timer;

	private final PollPace pace;

	private final Listener listener;

	private final StoreEra storeEra;

	private StoreVersion version = StoreVersion.NONE;

	/** Latest era for which a snapshot was read or is being read. */
	private long startedEra;

	/**
	 * Number of the current sequence of reads; results and retries of earlier sequences
	 * are dropped.
	 */
	private long sequence;

	private final RowsAhead rowsAhead = new RowsAhead();

	private boolean loaded;

	private boolean unavailable;

	/** Latest version for which changes were read early. */
	private StoreVersion caughtUp = StoreVersion.NONE;

	/** The read of changes that is scheduled, unless one is in progress. */
	private @Nullable ScheduledFuture<?> nextRead;

	private long backoffMillis = INITIAL_BACKOFF_MILLIS;

	private volatile long nextRefreshNanos;

	/**
	 * Creates a watcher, which does nothing until {@link #start()}.
	 * @param table name of the table
	 * @param feed store of the table
	 * @param timer runs the steps of the watcher and its listener, one at a time; owned
	 * by the caller
	 * @param pace decides how often the store is asked for changes
	 * @param listener receives the rows, one call at a time
	 */
	public TableWatcher(String table, TableFeed feed, ScheduledExecutorService timer, PollPace pace,
			Listener listener) {
		this(table, feed, timer, pace, listener, new StoreEra());
	}

	/**
	 * Creates a watcher, which does nothing until {@link #start()}.
	 * @param table name of the table
	 * @param feed store of the table
	 * @param timer runs the steps of the watcher and its listener, one at a time; owned
	 * by the caller
	 * @param pace decides how often the store is asked for changes
	 * @param listener receives the rows, one call at a time
	 * @param storeEra latest era of the store, shared with its other clients
	 */
	public TableWatcher(String table, TableFeed feed, ScheduledExecutorService timer, PollPace pace, Listener listener,
			StoreEra storeEra) {
		this.storeEra = storeEra;
		this.table = table;
		this.feed = feed;
		this.timer = timer;
		this.pace = pace;
		this.listener = listener;
	}

	/**
	 * Starts to read the table. Must be called once.
	 */
	public void start() {
		this.storeEra.onChange((era) -> this.timer.execute(() -> startEra(era)));
		this.timer.execute(this::readSnapshot);
	}

	// Before the first snapshot there is nothing to replace, and its read states the era.
	private void startEra(long era) {
		if (this.loaded && recordEra(era)) {
			restart();
		}
	}

	// Returns whether the era is later than all those for which rows were read.
	private boolean recordEra(long era) {
		if (era <= this.startedEra) {
			return false;
		}
		this.startedEra = era;
		if (this.loaded) {
			LogEvent.of("store-era-changed")
				.with("table", this.table)
				.with("era", era)
				.with("known-era", this.version.era())
				.with("version", this.version.version())
				.log(LOGGER, System.Logger.Level.WARNING);
		}
		return true;
	}

	// Abandons the read in progress or scheduled.
	private void restart() {
		this.sequence++;
		this.rowsAhead.clear();
		this.backoffMillis = INITIAL_BACKOFF_MILLIS;
		ScheduledFuture<?> scheduled = this.nextRead;
		if (scheduled != null) {
			scheduled.cancel(false);
			this.nextRead = null;
		}
		readSnapshot();
	}

	/**
	 * Reads a snapshot in addition to the changes. Callers use this when they learn that
	 * the table has newer rows than the listener received. A call soon after another one
	 * has no effect.
	 */
	public void refresh() {
		long now = System.nanoTime();
		if (now - this.nextRefreshNanos < 0) {
			return;
		}
		this.nextRefreshNanos = now + TimeUnit.MILLISECONDS.toNanos(MAX_BACKOFF_MILLIS);
		read(() -> this.feed.snapshot(this.table), (result) -> {
			if (result instanceof ReadResult.Found<TableFeed.Snapshot> found
					&& this.storeEra.observe(found.value().version().era())
					&& !found.value().version().isBefore(this.version)) {
				notifyListener(() -> this.listener.onRefresh(found.value().rows()));
			}
		});
	}

	/**
	 * Reads the changes up to a version now if the next read is scheduled for later.
	 * Callers use this when they learn that the table has changed. Each version has an
	 * effect once, so that a wrong one does not cause many reads. A version of a later
	 * era causes the read of a snapshot, which shows whether the store has that era.
	 * @param known version of the change
	 */
	public void catchUp(StoreVersion known) {
		this.timer.execute(() -> {
			ScheduledFuture<?> scheduled = this.nextRead;
			if (!this.version.isBefore(known) || !this.caughtUp.isBefore(known)) {
				return;
			}
			if (known.era() > this.version.era()) {
				if (this.loaded && known.era() > this.startedEra) {
					this.caughtUp = known;
					restart();
				}
			}
			else if (scheduled != null && scheduled.cancel(false)) {
				this.caughtUp = known;
				readChanges();
			}
		});
	}

	private void readSnapshot() {
		readInSequence(() -> this.feed.snapshot(this.table), this::handleSnapshot);
	}

	private <T> void readInSequence(Supplier<CompletionStage<ReadResult<T>>> call, Consumer<ReadResult<T>> handler) {
		long current = this.sequence;
		read(call, (result) -> {
			if (current == this.sequence) {
				handler.accept(result);
			}
		});
	}

	private <T> void read(Supplier<CompletionStage<ReadResult<T>>> call, Consumer<ReadResult<T>> handler) {
		CompletionStage<ReadResult<T>> reading;
		try {
			reading = call.get();
		}
		catch (RuntimeException ex) {
			reading = CompletableFuture.failedFuture(ex);
		}
		reading.exceptionally(TableWatcher::toFailure)
			.thenAccept((result) -> this.timer.execute(() -> handler.accept(result)));
	}

	private static <T> ReadResult<T> toFailure(Throwable cause) {
		return new ReadResult.Failed<>(StoreFailure.of(StoreFailure.Kind.ANSWER_LOST, cause.toString()));
	}

	private void notifyListener(Runnable call) {
		new GuardedTask("listener-of-" + this.table, call).run();
	}

	private void handleSnapshot(ReadResult<TableFeed.Snapshot> result) {
		if (!(result instanceof ReadResult.Found<TableFeed.Snapshot> found)) {
			handleFailure(result, this::readSnapshot);
			return;
		}
		StoreVersion read = found.value().version();
		if (!this.storeEra.observe(read.era()) || read.isBefore(this.version)) {
			logOldRows(read);
			retry(this::readSnapshot);
			return;
		}
		recordEra(read.era());
		recordAvailable();
		this.version = read;
		this.rowsAhead.replace(found.value());
		notifyListener(() -> this.listener.onSnapshot(found.value().rows(), found.value().version()));
		readChanges();
	}

	private void logOldRows(StoreVersion read) {
		LogEvent.of("store-answered-old-rows")
			.with("table", this.table)
			.with("version", read)
			.with("known", this.version)
			.with("known-era", this.storeEra.current())
			.log(LOGGER, System.Logger.Level.WARNING);
	}

	private void readChanges() {
		this.nextRead = null;
		readInSequence(() -> this.feed.changes(this.table, this.version, this.pace.longestWait()), this::handleChanges);
	}

	private void handleChanges(ReadResult<TableFeed.Changes> result) {
		if (result instanceof ReadResult.Found<TableFeed.Changes> found) {
			long era = found.value().version().era();
			if (!this.storeEra.observe(era)) {
				logOldRows(found.value().version());
				retry(this::readChanges);
				return;
			}
			if (era > this.version.era()) {
				// Numbers of the new era say nothing about the rows that are known.
				startEra(era);
				return;
			}
			recordAvailable();
			if (this.version.isBefore(found.value().version())) {
				this.version = found.value().version();
			}
			if (!found.value().changes().isEmpty()) {
				List<TableFeed.Change> newer = this.rowsAhead.newer(found.value().changes(), this.version.version());
				if (!newer.isEmpty()) {
					notifyListener(() -> this.listener.onChanges(newer, found.value().version()));
				}
				this.nextRead = this.timer.schedule(this::readChanges, this.pace.delayAfterChange().toMillis(),
						TimeUnit.MILLISECONDS);
			}
			else {
				readChanges();
			}
		}
		else if (result instanceof ReadResult.Missing<TableFeed.Changes>) {
			LogEvent.of("store-history-gone")
				.with("table", this.table)
				.with("version", this.version)
				.log(LOGGER, System.Logger.Level.INFO);
			readSnapshot();
		}
		else {
			handleFailure(result, this::readChanges);
		}
	}

	private void handleFailure(ReadResult<?> result, Runnable next) {
		StoreFailure failure = (result instanceof ReadResult.Failed<?> known) ? known.failure() : null;
		boolean late = failure != null && failure.kind() == StoreFailure.Kind.EARLIER_ERA;
		if (!this.unavailable && !late) {
			this.unavailable = true;
			LogEvent.of("store-lost")
				.with("table", this.table)
				.with("version", this.version)
				.with("failure", failure)
				.log(LOGGER, System.Logger.Level.WARNING);
			notifyListener(this.listener::onUnavailable);
		}
		retry(next);
	}

	private void retry(Runnable next) {
		long current = this.sequence;
		this.timer.schedule(() -> {
			if (current == this.sequence) {
				next.run();
			}
		}, this.backoffMillis, TimeUnit.MILLISECONDS);
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
			notifyListener(this.listener::onAvailable);
		}
	}

	/**
	 * Receives the rows of a table and the availability of its store.
	 */
	public interface Listener {

		/**
		 * Called with a new snapshot, which replaces all rows received before.
		 * @param rows all rows of the table
		 * @param version version of the store at which they were read
		 */
		void onSnapshot(List<Row> rows, StoreVersion version);

		/**
		 * Called when rows were written or removed.
		 * @param changes the changes, at least one, in the order in which they took
		 * effect
		 * @param version version of the store after them
		 */
		void onChanges(List<TableFeed.Change> changes, StoreVersion version);

		/**
		 * Called with the snapshot that {@link TableWatcher#refresh()} requested. It may
		 * still contain rows whose removal was already reported.
		 * @param rows all rows of the snapshot
		 */
		void onRefresh(List<Row> rows);

		/**
		 * Called at the first failed read of an outage.
		 */
		void onUnavailable();

		/**
		 * Called at the first successful read, and at the first one after a failure.
		 */
		void onAvailable();

	}

}
