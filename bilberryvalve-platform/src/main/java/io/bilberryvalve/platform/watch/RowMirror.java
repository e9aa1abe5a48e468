package io.bilberryvalve.platform.watch;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiPredicate;

import io.bilberryvalve.platform.Row;
import org.jspecify.annotations.Nullable;

/**
 * Present rows of a table and their latest changes, as this daemon has read them, for
 * daemons that ask it instead of the store. It answers only while this daemon reads the
 * table from the store itself, so that no row passes through two daemons. Changes that
 * only renew an entry are applied to the rows, but not reported. Safe for use by several
 * threads.
 */
public final class RowMirror {

	/**
	 * Number of changes that are kept; a daemon that missed more of them reads all rows.
	 */
	static final int MAX_CHANGES = 4096;

	/**
	 * Time after the last reported change of a row for which its renewals are reported,
	 * too. An entry that comes back with an earlier start counts only if it is renewed 10
	 * s later; the rest covers the intervals of renewals and of polls.
	 */
	static final Duration RENEWALS_REPORTED = Duration.ofSeconds(15);

	private final Clock clock;

	private final ScheduledExecutorService timer;

	private final BiPredicate<Row, Row> renewal;

	private final Map<String, Entry> rows = new HashMap<>();

	private final Deque<TableFeed.Change> log = new ArrayDeque<>();

	/** Version of the latest change in the log. */
	private long latest;

	private final Set<Waiter> waiters = new LinkedHashSet<>();

	private StoreVersion version = StoreVersion.NONE;

	/** Version after which the log has all reported changes. */
	private StoreVersion completeSince = StoreVersion.NONE;

	/** Version of the last snapshot; the rows contain all changes up to it. */
	private long base;

	/** Whether the last answer about the table came from the store itself. */
	private boolean direct;

	private long contactMillis;

	/**
	 * Creates an empty mirror.
	 * @param clock monotonic clock
	 * @param timer ends the waits of polls; owned by the caller
	 * @param renewal tells whether a row, given the previous one with the same key, only
	 * renews it
	 */
	public RowMirror(Clock clock, ScheduledExecutorService timer, BiPredicate<Row, Row> renewal) {
		this.clock = clock;
		this.timer = timer;
		this.renewal = renewal;
	}

	/**
	 * Records all rows of the table. Rows that are older than known ones are ignored.
	 * @param read the rows
	 * @param fromStore whether the store itself sent them
	 */
	public void recordSnapshot(TableFeed.Snapshot read, boolean fromStore) {
		update(() -> {
			if (read.version().era() > this.version.era() || this.version.equals(StoreVersion.NONE)) {
				this.log.clear();
				this.latest = 0;
				this.completeSince = read.version();
				Set<String> present = new LinkedHashSet<>();
				read.rows().forEach((row) -> present.add(row.key()));
				this.rows.keySet().retainAll(present);
				read.rows().forEach((row) -> put(row, false));
				this.version = read.version();
				this.base = read.version().version();
			}
			else if (read.version().isBefore(this.version)) {
				return;
			}
			else {
				differencesTo(read).forEach(this::apply);
				this.version = read.version();
				this.base = read.version().version();
			}
			recordContact(fromStore);
		});
	}

	/**
	 * Records changes. Changes that are older than known ones are ignored, and so are
	 * those of another era, which needs all rows first.
	 * @param read the changes
	 * @param fromStore whether the store itself sent them
	 */
	public void recordChanges(TableFeed.Changes read, boolean fromStore) {
		update(() -> {
			if (read.version().era() != this.version.era()) {
				return;
			}
			read.changes().forEach(this::apply);
			if (this.version.isBefore(read.version())) {
				this.version = read.version();
			}
			recordContact(fromStore);
		});
	}

	/**
	 * Records that the store did not answer a read of the table.
	 */
	public void recordFailure() {
		update(() -> this.direct = false);
	}

	/**
	 * Returns the version of the store up to which the rows are known.
	 * @return the version, or {@link StoreVersion#NONE} before the first snapshot
	 */
	public synchronized StoreVersion version() {
		return this.version;
	}

	private void recordContact(boolean fromStore) {
		this.direct = fromStore;
		if (fromStore) {
			this.contactMillis = this.clock.millis();
		}
	}

	/**
	 * Returns the changes from the known rows to others.
	 * @param other all rows of the table, in the same era
	 * @return rows that are newer than known ones, and removals of the rows that the
	 * other ones no longer contain
	 */
	public synchronized List<TableFeed.Change> differencesTo(TableFeed.Snapshot other) {
		Map<String, Row> missing = new HashMap<>();
		this.rows.forEach((key, entry) -> missing.put(key, entry.row));
		List<TableFeed.Change> changes = new ArrayList<>();
		for (Row row : other.rows()) {
			Row known = missing.remove(row.key());
			if (known == null || known.version() < row.version()) {
				changes.add(new TableFeed.Change(row, false));
			}
		}
		long at = other.version().version();
		missing.values()
			.stream()
			.filter((row) -> row.version() <= at)
			.forEach((row) -> changes.add(new TableFeed.Change(new Row(row.table(), row.key(), at, ""), true)));
		return changes;
	}

	// Removals are reported also for unknown rows: another daemon may have read a row
	// from the store that was removed before this daemon read its change.
	private void apply(TableFeed.Change change) {
		Row row = change.row();
		Entry known = this.rows.get(row.key());
		if (known != null && row.version() <= known.row.version()) {
			return;
		}
		if (change.removed()) {
			this.rows.remove(row.key());
			append(change);
		}
		else if (known != null || row.version() > this.base) {
			put(row, true);
		}
	}

	private void put(Row row, boolean report) {
		Entry known = this.rows.get(row.key());
		long now = this.clock.millis();
		boolean renewed = known != null && this.renewal.test(known.row, row);
		if (report && (!renewed || now < known.reportUntil)) {
			append(new TableFeed.Change(row, false));
		}
		this.rows.put(row.key(), new Entry(row, renewed ? known.reportUntil : now + RENEWALS_REPORTED.toMillis()));
	}

	private void append(TableFeed.Change change) {
		this.log.add(change);
		this.latest = Math.max(this.latest, change.row().version());
		if (this.log.size() > MAX_CHANGES) {
			TableFeed.Change dropped = this.log.remove();
			this.completeSince = new StoreVersion(this.version.era(),
					Math.max(this.completeSince.version(), dropped.row().version()));
		}
	}

	private void update(Runnable change) {
		List<Runnable> due = new ArrayList<>();
		synchronized (this) {
			change.run();
			this.waiters.removeIf((waiter) -> {
				Answer answer = answer(waiter.after, false);
				if (answer != null) {
					due.add(() -> waiter.result.complete(answer));
				}
				return answer != null;
			});
		}
		due.forEach(Runnable::run);
	}

	/**
	 * Returns the changes after a version, and waits for one if there are none yet.
	 * @param after version up to which the asking daemon knows the rows, or
	 * {@link StoreVersion#NONE} for all rows
	 * @param wait longest time to wait
	 * @return the answer; cancel it to end the wait
	 */
	public CompletableFuture<Answer> poll(StoreVersion after, Duration wait) {
		Waiter waiter;
		synchronized (this) {
			Answer answer = answer(after, wait.toMillis() <= 0);
			if (answer != null) {
				return CompletableFuture.completedFuture(answer);
			}
			waiter = new Waiter(after, new CompletableFuture<>());
			this.waiters.add(waiter);
		}
		CompletableFuture<Answer> result = waiter.result;
		ScheduledFuture<?> end = this.timer.schedule(() -> end(waiter), wait.toMillis(), TimeUnit.MILLISECONDS);
		result.whenComplete((answer, failure) -> {
			end.cancel(false);
			forget(waiter);
		});
		return result;
	}

	private synchronized void forget(Waiter waiter) {
		this.waiters.remove(waiter);
	}

	private void end(Waiter waiter) {
		Answer answer;
		synchronized (this) {
			this.waiters.remove(waiter);
			answer = answer(waiter.after, true);
		}
		waiter.result.complete(answer);
	}

	// Returns null if there is a reason to wait and the wait has not ended. An asking
	// daemon may know a later version than this one for a moment.
	private @Nullable Answer answer(StoreVersion after, boolean waited) {
		if (!this.direct) {
			return answer(Kind.UNAVAILABLE, List.of());
		}
		if (after.equals(StoreVersion.NONE)) {
			return answer(Kind.SNAPSHOT,
					this.rows.values().stream().map((entry) -> new TableFeed.Change(entry.row, false)).toList());
		}
		if (after.isBefore(this.completeSince)) {
			return answer(Kind.HISTORY_GONE, List.of());
		}
		List<TableFeed.Change> changes = (this.version.isBefore(after) || this.latest <= after.version()) ? List.of()
				: this.log.stream().filter((change) -> change.row().version() > after.version()).toList();
		return (waited || !changes.isEmpty()) ? answer(Kind.CHANGES, changes) : null;
	}

	private Answer answer(Kind kind, List<TableFeed.Change> rows) {
		return new Answer(kind, this.version, rows, Duration.ofMillis(this.clock.millis() - this.contactMillis));
	}

	/** Kind of an answer. */
	public enum Kind {

		/** Changes after the given version. */
		CHANGES,

		/** All rows. */
		SNAPSHOT,

		/** The changes after the given version are no longer known. */
		HISTORY_GONE,

		/** This daemon does not read the table from the store at present. */
		UNAVAILABLE

	}

	/**
	 * Answer to a daemon that asks for rows.
	 *
	 * @param kind kind of the answer
	 * @param version version of the store up to which the rows are complete
	 * @param rows the changes, or all rows
	 * @param age time since the store last answered a read of the table
	 */
	public record Answer(Kind kind, StoreVersion version, List<TableFeed.Change> rows, Duration age) {

	}

	/**
	 * A row and the time in milliseconds until which its renewals are reported.
	 */
	private record Entry(Row row, long reportUntil) {

	}

	/** A poll that waits for a change. */
	private static final class Waiter {

		private final StoreVersion after;

		private final CompletableFuture<Answer> result;

		Waiter(StoreVersion after, CompletableFuture<Answer> result) {
			this.after = after;
			this.result = result;
		}

	}

}
