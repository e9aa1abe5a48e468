package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Registry of the runners, kept up to date from the list of runners in the store. While
 * the list cannot be read, the last known runners stay in the registry. Entries that
 * disappear during an outage or shortly after it are kept for a grace period, because
 * they may have expired in the outage and are written again by runners that are alive.
 * Safe for use by several threads; {@link #snapshot()} never blocks.
 */
public final class FleetRegistry {

	private static final System.Logger LOGGER = System.getLogger(FleetRegistry.class.getName());

	/**
	 * Grace period for entries that disappear around an outage; live runners write their
	 * entries again within 2 s after it.
	 */
	private static final Duration RELIST_GRACE = Duration.ofMillis(2000);

	private final Clock clock;

	private final Map<RunnerId, ListedRunner> listed = new HashMap<>();

	private final Map<RunnerId, Instant> removalTimes = new HashMap<>();

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
	 * Adds a listener that is called after each change.
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
	 */
	public synchronized void replace(Map<RunnerId, ListedRunner> runners) {
		for (RunnerId id : List.copyOf(this.listed.keySet())) {
			if (!runners.containsKey(id)) {
				removeOrDefer(id);
			}
		}
		runners.values().forEach(this::put);
		this.loaded = true;
		publish();
	}

	/**
	 * Applies changes of single entries.
	 * @param changes new entry of each changed runner, or {@code null} if the entry was
	 * removed
	 */
	public synchronized void update(Map<RunnerId, ListedRunner> changes) {
		changes.forEach((id, runner) -> {
			if (runner == null) {
				removeOrDefer(id);
			}
			else {
				put(runner);
			}
		});
		publish();
	}

	/**
	 * Removes runners whose grace period after an outage of the list has ended. Call it a
	 * few times a second.
	 */
	public synchronized void removeExpired() {
		Instant now = this.clock.instant();
		boolean changed = this.removalTimes.entrySet().removeIf((entry) -> {
			boolean gone = !now.isBefore(entry.getValue());
			if (gone) {
				remove(entry.getKey(), "not listed again after the outage");
			}
			return gone;
		});
		if (changed) {
			publish();
		}
	}

	private void put(ListedRunner runner) {
		this.removalTimes.remove(runner.id());
		ListedRunner before = this.listed.put(runner.id(), runner);
		if (!runner.equals(before)) {
			LogEvent.of("runner-listed")
				.with("runner", runner.id())
				.with("address", runner.address())
				.with("leaving", runner.leaving())
				.with("layers", runner.layers())
				.log(LOGGER, System.Logger.Level.INFO);
		}
	}

	private void removeOrDefer(RunnerId id) {
		ListedRunner runner = this.listed.get(id);
		Instant until = this.reachableSince.equals(Instant.MIN) ? Instant.MIN : this.reachableSince.plus(RELIST_GRACE);
		if (runner != null && !runner.leaving() && (this.unreachable || this.clock.instant().isBefore(until))) {
			this.removalTimes.putIfAbsent(id, this.unreachable ? this.clock.instant().plus(RELIST_GRACE) : until);
		}
		else {
			remove(id, "removed from the list");
		}
	}

	private void remove(RunnerId id, String reason) {
		if (this.listed.remove(id) != null) {
			LogEvent.of("runner-gone").with("runner", id).with("reason", reason).log(LOGGER, System.Logger.Level.INFO);
		}
	}

	private void publish() {
		this.snapshot = new FleetSnapshot(this.listed.values());
		this.listeners.forEach(Runnable::run);
	}

}
