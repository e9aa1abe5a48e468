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
 * Keeps the fleet up to date. While the list of runners cannot be read, the last known
 * fleet stays in force. Entries that vanish shortly after the list came back stay for a
 * while, because they may have expired in the outage and are written again by runners
 * that live. Readers never wait.
 */
public final class FleetBoard {

	private static final System.Logger LOGGER = System.getLogger(FleetBoard.class.getName());

	/** Runners write their entries again within 2 s after an outage of the list. */
	private static final Duration RETURN_TIME = Duration.ofMillis(2000);

	private final Clock clock;

	private final Map<RunnerId, ListedRunner> listed = new HashMap<>();

	private final Map<RunnerId, Instant> vanished = new HashMap<>();

	private final CopyOnWriteArrayList<Runnable> listeners = new CopyOnWriteArrayList<>();

	private volatile Fleet fleet = Fleet.EMPTY;

	private volatile boolean known;

	private Instant backSince = Instant.MIN;

	private boolean lost;

	private long lostSince;

	/**
	 * Creates a board without runners.
	 * @param clock monotonic clock
	 */
	public FleetBoard(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the fleet.
	 * @return the runners known now
	 */
	public Fleet fleet() {
		return this.fleet;
	}

	/**
	 * Tells whether the list has been read since the start.
	 * @return whether the fleet is known
	 */
	public boolean known() {
		return this.known;
	}

	/**
	 * Tells whether the list can be read.
	 * @return whether the last read succeeded
	 */
	public synchronized boolean reachable() {
		return this.known && !this.lost;
	}

	/**
	 * Returns the age of the fleet.
	 * @return milliseconds for which the list could not be read, 0 if it can
	 */
	public synchronized long ageMillis() {
		return this.lost ? this.clock.millis() - this.lostSince : 0;
	}

	/**
	 * Adds a listener that is called after each change.
	 * @param listener the listener; it must not block
	 */
	public void onChange(Runnable listener) {
		this.listeners.add(listener);
	}

	/**
	 * The list cannot be read.
	 */
	public synchronized void lost() {
		if (!this.lost) {
			this.lost = true;
			this.lostSince = this.clock.millis();
			LogEvent.of("runner-list-lost")
				.with("runners", this.listed.size())
				.log(LOGGER, System.Logger.Level.WARNING);
		}
	}

	/**
	 * The list can be read again, or a read succeeded.
	 */
	public synchronized void available() {
		if (this.lost) {
			this.lost = false;
			this.backSince = this.clock.instant();
			LogEvent.of("runner-list-regained").log(LOGGER, System.Logger.Level.INFO);
		}
	}

	/**
	 * The whole list was read.
	 * @param runners all entries
	 */
	public synchronized void replace(Map<RunnerId, ListedRunner> runners) {
		for (RunnerId id : List.copyOf(this.listed.keySet())) {
			if (!runners.containsKey(id)) {
				vanish(id);
			}
		}
		runners.values().forEach(this::put);
		this.known = true;
		publish();
	}

	/**
	 * Entries changed.
	 * @param changes new entry of each changed runner, or {@code null} if it vanished
	 */
	public synchronized void update(Map<RunnerId, ListedRunner> changes) {
		changes.forEach((id, runner) -> {
			if (runner == null) {
				vanish(id);
			}
			else {
				put(runner);
			}
		});
		publish();
	}

	/**
	 * Removes runners that did not come back after an outage of the list. Call it a few
	 * times a second.
	 */
	public synchronized void sweep() {
		Instant now = this.clock.instant();
		boolean changed = this.vanished.entrySet().removeIf((entry) -> {
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
		this.vanished.remove(runner.id());
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

	private void vanish(RunnerId id) {
		ListedRunner runner = this.listed.get(id);
		Instant until = this.backSince.equals(Instant.MIN) ? Instant.MIN : this.backSince.plus(RETURN_TIME);
		if (runner != null && !runner.leaving() && (this.lost || this.clock.instant().isBefore(until))) {
			this.vanished.putIfAbsent(id, this.lost ? this.clock.instant().plus(RETURN_TIME) : until);
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
		this.fleet = new Fleet(this.listed.values());
		this.listeners.forEach(Runnable::run);
	}

}
