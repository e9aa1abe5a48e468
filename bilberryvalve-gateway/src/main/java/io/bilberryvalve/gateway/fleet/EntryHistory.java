package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;
import org.jspecify.annotations.Nullable;

/**
 * Decides whether an entry is newer than what is known of its runner. The store may
 * perform a write whose answer was lost seconds late, so that an entry overwrites a later
 * one or appears again after its removal. Entries are ordered by the start of the runner
 * and by their number since then. A store that is restored from a copy returns earlier
 * entries of runners that are alive, and numbers that continue from these; see
 * {@link #startEra}. Not safe for use by several threads.
 */
final class EntryHistory {

	private static final System.Logger LOGGER = System.getLogger(EntryHistory.class.getName());

	/**
	 * Time after which a runner whose entry came back counts as alive even without
	 * another heartbeat. The entry of a silent runner is dropped from the list after
	 * three heartbeats, which is about as long.
	 */
	private static final long RETURN_MILLIS = 4000;

	/**
	 * Time after which entries with an earlier start are no late writes. The store
	 * performs these within about 6 s.
	 */
	private static final long LATE_WRITE_MILLIS = 10_000;

	/** Time for which a removed entry is remembered. */
	private static final long RETENTION_MILLIS = 600_000;

	private final Clock clock;

	private final Map<RunnerId, Latest> known = new HashMap<>();

	EntryHistory(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Compares an entry with those seen before and records it if it is newer.
	 * @param entry entry read from the list
	 * @return whether the entry is to be applied
	 */
	Verdict judge(ListedRunner entry) {
		Latest latest = this.known.get(entry.id());
		if (latest == null || entry.startedMillis() > latest.started) {
			return accept(entry);
		}
		if (entry.startedMillis() < latest.started) {
			return judgeEarlierStart(latest, entry);
		}
		if (entry.heartbeats() == 0) {
			return accept(entry);
		}
		if (entry.heartbeats() < latest.heartbeats || entry.heartbeats() == latest.restored) {
			return rejectOutdated(latest, entry);
		}
		return (latest.removed && !entry.leaving()) ? judgeReturn(latest, entry) : accept(entry);
	}

	/**
	 * Prepares for entries that are written after the store was restored from a copy. For
	 * a runner that was listed and not leaving, each number above that of its entry in
	 * the copy counts as new, or each number if the copy has no entry, because the runner
	 * may continue from there. What is known of leaving and removed runners stays, so
	 * that their earlier entries do not bring them back.
	 * @param restored all entries of the first list that was read since the restore
	 * @return runners whose entry in that list is not newer than the known one, and must
	 * not replace it
	 */
	Set<RunnerId> startEra(Map<RunnerId, ListedRunner> restored) {
		Set<RunnerId> older = new HashSet<>();
		this.known.forEach((id, latest) -> {
			ListedRunner entry = restored.get(id);
			boolean sameStart = entry != null && entry.startedMillis() == latest.started;
			boolean ends = latest.removed || latest.leaving;
			if (sameStart && isOlder(latest, entry, ends)) {
				older.add(id);
			}
			if (!ends) {
				latest.restored = older.contains(id) ? entry.heartbeats() : 0;
				latest.heartbeats = sameStart ? Math.min(latest.heartbeats, entry.heartbeats()) : 0;
			}
		});
		return older;
	}

	// Entries without a number are not ordered; those of runners that are alive may be
	// new.
	private static boolean isOlder(Latest latest, ListedRunner entry, boolean ends) {
		return (entry.heartbeats() == 0) ? ends && !entry.leaving() : entry.heartbeats() <= latest.heartbeats;
	}

	private Verdict accept(ListedRunner entry) {
		this.known.put(entry.id(), new Latest(entry));
		return Verdict.CURRENT;
	}

	private static Verdict rejectOutdated(Latest latest, ListedRunner entry) {
		LogEvent.of("runner-entry-outdated")
			.with("runner", entry.id())
			.with("started", entry.startedMillis())
			.with("heartbeats", entry.heartbeats())
			.with("known-started", latest.started)
			.with("known-heartbeats", latest.heartbeats)
			.with("removed", latest.removed)
			.log(LOGGER, System.Logger.Level.INFO);
		return Verdict.OUTDATED;
	}

	// A runner whose clock was set back before its start keeps writing, unlike one that
	// has ended.
	private Verdict judgeEarlierStart(Latest latest, ListedRunner entry) {
		long now = this.clock.millis();
		Earlier earlier = latest.earlier;
		if (earlier == null || earlier.started != entry.startedMillis()) {
			latest.earlier = new Earlier(entry.startedMillis(), entry.heartbeats(), now);
		}
		else if (now - earlier.since >= LATE_WRITE_MILLIS
				&& (entry.heartbeats() > earlier.heartbeats || entry.heartbeats() == 0)) {
			return accept(entry);
		}
		return rejectOutdated(latest, entry);
	}

	// The first entry after a removal may be the last write before it. A runner that is
	// alive writes another one soon.
	private Verdict judgeReturn(Latest latest, ListedRunner entry) {
		ListedRunner returning = latest.returning;
		if (returning != null && entry.heartbeats() == returning.heartbeats()) {
			return Verdict.UNCONFIRMED;
		}
		if (entry.heartbeats() == latest.heartbeats) {
			return rejectOutdated(latest, entry);
		}
		if (returning != null) {
			return accept(entry);
		}
		latest.heartbeats = entry.heartbeats();
		latest.returning = entry;
		latest.changedAt = this.clock.millis();
		LogEvent.of("runner-entry-unconfirmed")
			.with("runner", entry.id())
			.with("started", entry.startedMillis())
			.with("heartbeats", entry.heartbeats())
			.log(LOGGER, System.Logger.Level.INFO);
		return Verdict.UNCONFIRMED;
	}

	/**
	 * Records that the entry of a runner was removed.
	 * @param id identifier of the runner
	 */
	void recordRemoval(RunnerId id) {
		Latest latest = this.known.get(id);
		if (latest != null) {
			latest.removed = true;
			latest.returning = null;
			latest.changedAt = this.clock.millis();
		}
	}

	/**
	 * Takes the entries that came back after their removal and have stayed since. Also
	 * drops what is known of runners that were removed long ago. Call it a few times a
	 * second.
	 * @return the entries, which are current from now on
	 */
	List<ListedRunner> takeReturned() {
		long now = this.clock.millis();
		List<ListedRunner> returned = new ArrayList<>();
		this.known.values().forEach((latest) -> {
			ListedRunner entry = latest.returning;
			if (entry != null && now - latest.changedAt >= RETURN_MILLIS) {
				returned.add(entry);
			}
		});
		returned.forEach(this::accept);
		this.known.values().removeIf((latest) -> latest.removed && now - latest.changedAt > RETENTION_MILLIS);
		return returned;
	}

	/** Whether an entry is to be applied. */
	enum Verdict {

		/** The entry is the newest of its runner. */
		CURRENT,

		/** A newer entry, or the removal of the entry, is known. */
		OUTDATED,

		/**
		 * The entry came back after its removal. It may have been written before the
		 * removal, unless another one follows.
		 */
		UNCONFIRMED

	}

	/** The newest entry of a runner. */
	private static final class Latest {

		private final long started;

		private long heartbeats;

		private boolean removed;

		private final boolean leaving;

		/** Number of the entry in the copy of the store, 0 for none. */
		private long restored;

		/** The entry that came back after the removal and is not confirmed yet. */
		private @Nullable ListedRunner returning;

		/** Time of the removal or of the return, in milliseconds. */
		private long changedAt;

		/** First of the entries with an earlier start that arrived after this one. */
		private @Nullable Earlier earlier;

		Latest(ListedRunner entry) {
			this.started = entry.startedMillis();
			this.heartbeats = entry.heartbeats();
			this.leaving = entry.leaving();
		}

	}

	/**
	 * An entry with an earlier start than the newest one.
	 *
	 * @param started time of that start
	 * @param heartbeats number of the entry
	 * @param since time at which it arrived, in milliseconds
	 */
	private record Earlier(long started, long heartbeats, long since) {

	}

}
