package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Registry of the runners, kept up to date from the list of runners in the store. While
 * the list cannot be read, the last known runners stay in the registry. Entries that
 * disappear during an outage or shortly after it are kept for a grace period, because
 * they may have expired in the outage and are written again by runners that are alive. A
 * runner that has told this daemon that it leaves stays leaving until it starts again,
 * whatever its entry says. An entry that is older than a known one is ignored. After a
 * restore of the store from a copy, runners that are missing have the same grace period,
 * and runners that have left do not come back with their entries in the copy. Safe for
 * use by several threads; {@link #snapshot()} never blocks.
 */
public final class FleetRegistry {

	private static final System.Logger LOGGER = System.getLogger(FleetRegistry.class.getName());

	/**
	 * Grace period for entries that disappear around an outage; live runners write their
	 * entries again within 2 s after it.
	 */
	private static final Duration RELIST_GRACE = Duration.ofMillis(2000);

	/**
	 * Time for which the announcement of a runner that is no longer listed is kept. Its
	 * entry may come back within seconds of an outage, while it still leaves.
	 */
	private static final Duration ANNOUNCEMENT_RETENTION = Duration.ofMinutes(10);

	private final Clock clock;

	private final Map<RunnerId, ListedRunner> listed = new HashMap<>();

	private final EntryHistory history;

	private final Map<RunnerId, Instant> removalTimes = new HashMap<>();

	/** Runners that have told this daemon that they leave. */
	private final Map<RunnerId, Announcement> announcements = new HashMap<>();

	private final CopyOnWriteArrayList<Runnable> listeners = new CopyOnWriteArrayList<>();

	private volatile FleetSnapshot snapshot = FleetSnapshot.EMPTY;

	private volatile boolean loaded;

	private Instant reachableSince = Instant.MIN;

	private boolean unreachable;

	private long unreachableSince;

	/**
	 * Creates a registry without runners.
	 * @param clock monotonic clock
	 */
	public FleetRegistry(Clock clock) {
		this.clock = clock;
		this.history = new EntryHistory(clock);
	}

	/**
	 * Returns the present runners.
	 * @return an immutable snapshot, a new one after each change
	 */
	public FleetSnapshot snapshot() {
		return this.snapshot;
	}

	/**
	 * Returns whether the list has been read at least once since the start.
	 * @return whether the runners are known
	 */
	public boolean isLoaded() {
		return this.loaded;
	}

	/**
	 * Returns whether the list can be read at present.
	 * @return whether the list has been read and no outage has been reported since
	 */
	public synchronized boolean isReachable() {
		return this.loaded && !this.unreachable;
	}

	/**
	 * Returns the age of the snapshot.
	 * @return milliseconds since the list became unreadable, 0 if it can be read
	 */
	public synchronized long ageMillis() {
		return this.unreachable ? this.clock.millis() - this.unreachableSince : 0;
	}

	/**
	 * Adds a listener that is called after each change of the snapshot.
	 * @param listener called while the registry is locked; it must not block
	 */
	public void onChange(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * Records that the list cannot be read.
	 */
	public synchronized void markUnreachable() {
		if (!this.unreachable) {
			this.unreachable = true;
			this.unreachableSince = this.clock.millis();
			LogEvent.of("runner-list-lost")
				.with("runners", this.listed.size())
				.log(LOGGER, System.Logger.Level.WARNING);
		}
	}

	/**
	 * Records that the list can be read, after an outage or after any successful read.
	 */
	public synchronized void markReachable() {
		if (this.unreachable) {
			this.unreachable = false;
			this.reachableSince = this.clock.instant();
			LogEvent.of("runner-list-regained").log(LOGGER, System.Logger.Level.INFO);
		}
	}

	/**
	 * Replaces all entries after the whole list has been read.
	 * @param runners all entries of the list
	 * @return whether the runners have changed
	 */
	public synchronized boolean replace(Map<RunnerId, ListedRunner> runners) {
		return replace(runners, Set.of());
	}

	/**
	 * Replaces all entries after the whole list has been read for the first time since
	 * the store was restored from a copy. Entries of the copy that are older than the
	 * known ones change nothing, until their runners write them again.
	 * @param runners all entries of the list
	 * @return whether the runners have changed
	 */
	public synchronized boolean replaceRestored(Map<RunnerId, ListedRunner> runners) {
		this.reachableSince = this.clock.instant();
		Set<RunnerId> older = this.history.startEra(runners);
		LogEvent.of("runner-list-restored")
			.with("runners", this.listed.size())
			.with("missing", this.listed.keySet().stream().filter((id) -> !runners.containsKey(id)).count())
			.with("older", older.size())
			.log(LOGGER, System.Logger.Level.WARNING);
		older.forEach(this.removalTimes::remove);
		return replace(runners, older);
	}

	private boolean replace(Map<RunnerId, ListedRunner> runners, Set<RunnerId> older) {
		boolean changed = !this.loaded;
		for (RunnerId id : List.copyOf(this.listed.keySet())) {
			if (!runners.containsKey(id)) {
				changed |= removeOrDefer(id);
			}
		}
		for (ListedRunner runner : runners.values()) {
			changed |= !older.contains(runner.id()) && put(runner);
		}
		this.loaded = true;
		publishIf(changed);
		return changed;
	}

	/**
	 * Applies changes of single entries.
	 * @param changes new entry of each changed runner, or {@code null} if the entry was
	 * removed
	 * @return whether the runners have changed
	 */
	public synchronized boolean update(Map<RunnerId, ListedRunner> changes) {
		boolean changed = false;
		for (Map.Entry<RunnerId, ListedRunner> change : changes.entrySet()) {
			ListedRunner runner = change.getValue();
			changed |= (runner != null) ? put(runner) : removeOrDefer(change.getKey());
		}
		publishIf(changed);
		return changed;
	}

	/**
	 * Records that a runner has told this daemon that it leaves. It gets no new requests
	 * from now on, although its entry may not say so yet or may never do. A later start
	 * with the same identifier is not affected.
	 * @param runner entry of the runner when the request was sent to which it said so
	 * @return whether it was not known before
	 */
	public synchronized boolean recordLeaving(ListedRunner runner) {
		ListedRunner now = this.listed.get(runner.id());
		boolean restarted = now != null && now.startedMillis() != runner.startedMillis();
		if (restarted || isAnnounced(runner)) {
			return false;
		}
		this.announcements.put(runner.id(), new Announcement(runner.startedMillis(), this.clock.instant()));
		LogEvent.of("runner-leaving")
			.with("runner", runner.id())
			.with("started", runner.startedMillis())
			.with("listed-as-leaving", (now != null) ? now.leaving() : null)
			.log(LOGGER, System.Logger.Level.INFO);
		publishIf(now != null && list(now));
		return true;
	}

	private boolean isAnnounced(ListedRunner runner) {
		Announcement announcement = this.announcements.get(runner.id());
		return announcement != null && announcement.startedMillis == runner.startedMillis();
	}

	/**
	 * Removes runners whose grace period after an outage of the list has ended, and lists
	 * those whose entries came back after a removal and have stayed. Call it a few times
	 * a second.
	 */
	public synchronized void removeExpired() {
		Instant now = this.clock.instant();
		this.announcements.entrySet()
			.removeIf((entry) -> !this.listed.containsKey(entry.getKey())
					&& entry.getValue().at.plus(ANNOUNCEMENT_RETENTION).isBefore(now));
		boolean changed = this.removalTimes.entrySet().removeIf((entry) -> {
			boolean gone = !now.isBefore(entry.getValue());
			if (gone) {
				remove(entry.getKey(), "not listed again after the outage");
			}
			return gone;
		});
		for (ListedRunner runner : this.history.takeReturned()) {
			changed |= list(runner);
		}
		publishIf(changed);
	}

	// Returns whether the runners have changed.
	private boolean put(ListedRunner entry) {
		return this.history.judge(entry) == EntryHistory.Verdict.CURRENT && list(entry);
	}

	// Returns whether the entry differs from the previous one.
	private boolean list(ListedRunner entry) {
		ListedRunner runner = isAnnounced(entry) ? entry.asLeaving() : entry;
		this.removalTimes.remove(runner.id());
		ListedRunner before = this.listed.put(runner.id(), runner);
		if (before != null && runner.statesSameAs(before)) {
			return false;
		}
		LogEvent.of("runner-listed")
			.with("runner", runner.id())
			.with("address", runner.address())
			.with("leaving", runner.leaving())
			.with("layers", runner.layers())
			.log(LOGGER, System.Logger.Level.INFO);
		return true;
	}

	// Returns whether the entry was removed now.
	private boolean removeOrDefer(RunnerId id) {
		ListedRunner runner = this.listed.get(id);
		Instant until = this.reachableSince.equals(Instant.MIN) ? Instant.MIN : this.reachableSince.plus(RELIST_GRACE);
		if (runner != null && !runner.leaving() && (this.unreachable || this.clock.instant().isBefore(until))) {
			this.removalTimes.putIfAbsent(id, this.unreachable ? this.clock.instant().plus(RELIST_GRACE) : until);
			return false;
		}
		return remove(id, "removed from the list");
	}

	private boolean remove(RunnerId id, String reason) {
		this.history.recordRemoval(id);
		boolean removed = this.listed.remove(id) != null;
		if (removed) {
			LogEvent.of("runner-gone").with("runner", id).with("reason", reason).log(LOGGER, System.Logger.Level.INFO);
		}
		return removed;
	}

	private void publishIf(boolean changed) {
		if (changed) {
			this.snapshot = new FleetSnapshot(this.listed.values());
			this.listeners.forEach(Runnable::run);
		}
	}

	/**
	 * Announcement of a runner that it leaves.
	 *
	 * @param startedMillis time of its start on its own clock
	 * @param at time at which it was first heard
	 */
	private record Announcement(long startedMillis, Instant at) {

	}

}
