package io.bilberryvalve.gateway.peer;

import java.time.Clock;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.gateway.peer.StateExchange.LocalState;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.policy.membership.DelegateSelector;
import org.jspecify.annotations.Nullable;

/**
 * Other daemons that are known, from their own states or from the rosters of delegates,
 * and which of them are present. One thread adds while others read.
 */
final class PeerDirectory {

	private static final System.Logger LOGGER = System.getLogger(PeerDirectory.class.getName());

	/**
	 * Shortest silence after which a daemon is absent, about seven lost datagrams in a
	 * row. Callers are no longer directed to an absent daemon.
	 */
	private static final long MIN_ABSENT_MILLIS = 1100;

	/**
	 * Silence after which a daemon is absent in a fleet with delegates. The age of a
	 * state that passes two delegates is up to 750 ms, and up to 450 ms more if a roster
	 * is lost.
	 */
	private static final long ROSTER_ABSENT_MILLIS = 1500;

	/**
	 * Largest number of periods between two states to another data centre. Every second
	 * one leaves out the usage of runners, which is the largest part, so that the loads
	 * seen there can be twice as old.
	 */
	private static final int MAX_CROSS_PERIODS = 4;

	/**
	 * Number of known daemons for each period between two states to another data centre.
	 */
	private static final int DAEMONS_PER_CROSS_PERIOD = 7;

	/**
	 * Number of states from another data centre that may be lost in a row before their
	 * sender is absent.
	 */
	private static final int TOLERATED_CROSS_LOSSES = 3;

	/** Silence after which a daemon is considered to have ended. */
	private static final long ENDED_AFTER_MILLIS = 2000;

	/**
	 * Silence after which a daemon is considered to have ended in a fleet with delegates:
	 * the time until new delegates take over from two lost ones (1.1 s), a state (150
	 * ms), two rosters (600 ms each) and the loss of one of these (600 ms), with a
	 * margin.
	 */
	private static final long ROSTER_ENDED_AFTER_MILLIS = 3500;

	/** Silence after which no more states are sent to a daemon. */
	private static final long TARGET_RETENTION_MILLIS = 60_000;

	/** Number of daemons that read the store often; one of them may fail at any time. */
	private static final int READERS = 2;

	private final LocalState local;

	private final Clock clock;

	private final long incarnation;

	private final long startedAt;

	/** Time of the last message or of the addition, by address for states. */
	private final Map<Address, Long> targets = new ConcurrentHashMap<>();

	private final PeerTable peers = new PeerTable();

	/** Versions in the last states that arrived directly, by name of the VM. */
	private final Map<String, StoreVersion> runnerLists = new ConcurrentHashMap<>();

	/**
	 * Creates a directory without peers.
	 * @param local state of this daemon
	 * @param clock monotonic clock
	 * @param incarnation number of this start of the daemon
	 */
	PeerDirectory(LocalState local, Clock clock, long incarnation) {
		this.local = local;
		this.clock = clock;
		this.incarnation = incarnation;
		this.startedAt = clock.millis();
	}

	/**
	 * Adds an address to which states are sent.
	 * @param address address on which a daemon may receive states
	 */
	void addTarget(Address address) {
		if (!address.equals(this.local.stateAddress()) && this.targets.size() < PeerTable.MAX_DAEMONS) {
			this.targets.putIfAbsent(address, this.clock.millis());
		}
	}

	/**
	 * Returns the addresses to which states are sent.
	 * @return times of the last message or of the addition in milliseconds, by address
	 */
	Map<Address, Long> targets() {
		return this.targets;
	}

	/**
	 * Removes the addresses of daemons that have been silent for a minute.
	 */
	void removeSilentTargets() {
		long now = this.clock.millis();
		this.targets.values().removeIf((heard) -> now - heard > TARGET_RETENTION_MILLIS);
		this.runnerLists.keySet().removeIf((vm) -> this.peers.get(vm) == null);
	}

	/**
	 * Adds a state of another daemon if it is newer than the known one.
	 * @param peer the state
	 * @return the previous state, or {@code null} for none, and whether the new one was
	 * added
	 */
	Addition add(PeerState peer) {
		PeerState previous = this.peers.get(peer.vm());
		if (peer.vm().equals(this.local.vm()) || !this.peers.add(peer, absentMillis())) {
			return new Addition(previous, false);
		}
		addTarget(peer.stateAddress());
		this.targets.computeIfPresent(peer.stateAddress(), (key, heard) -> Math.max(heard, peer.receivedMillis()));
		if (previous == null || previous.incarnation() != peer.incarnation() || previous.serving() != peer.serving()) {
			LogEvent.of("peer-heard")
				.with("vm", peer.vm())
				.with("incarnation", peer.incarnation())
				.with("serving", peer.serving())
				.log(LOGGER, System.Logger.Level.INFO);
		}
		return new Addition(previous, true);
	}

	/**
	 * Records that a message other than a state has arrived from a known daemon.
	 * @param vm name of the VM of the daemon
	 * @param start number of its start
	 * @param sequence number of the message
	 */
	void touch(String vm, long start, long sequence) {
		long now = this.clock.millis();
		if (this.peers.touch(vm, start, sequence, now)) {
			PeerState peer = this.peers.get(vm);
			if (peer != null) {
				this.targets.replace(peer.stateAddress(), now);
			}
		}
	}

	/**
	 * Returns the newest state of a daemon.
	 * @param vm name of its VM
	 * @return the state, or {@code null} if the daemon is unknown
	 */
	@Nullable PeerState get(String vm) {
		return this.peers.get(vm);
	}

	/**
	 * Returns the newest state of each other daemon, present or not.
	 * @return a view that follows all changes
	 */
	Collection<PeerState> all() {
		return this.peers.all();
	}

	/**
	 * Records which change of the list of runners a daemon knows.
	 * @param vm name of its VM
	 * @param version version of the store with the change
	 */
	void recordRunnerList(String vm, StoreVersion version) {
		this.runnerLists.put(vm, version);
	}

	/**
	 * Returns the latest change of the list of runners that a present daemon of a data
	 * centre has reported directly.
	 * @param dataCentre the data centre
	 * @return version of the store with the change, {@link StoreVersion#NONE} for none
	 */
	StoreVersion latestRunnerList(DataCentreId dataCentre) {
		StoreVersion latest = StoreVersion.NONE;
		for (PeerState peer : presentPeers()) {
			StoreVersion version = this.runnerLists.get(peer.vm());
			if (version != null && peer.dataCentre().equals(dataCentre) && latest.isBefore(version)) {
				latest = version;
			}
		}
		return latest;
	}

	/**
	 * Returns whether a daemon is known to be in a data centre.
	 * @param vm name of its VM
	 * @param dataCentre the data centre
	 * @return {@code false} also for an unknown daemon
	 */
	boolean isIn(String vm, DataCentreId dataCentre) {
		PeerState peer = this.peers.get(vm);
		return peer != null && peer.dataCentre().equals(dataCentre);
	}

	List<PeerState> presentPeers() {
		return heardWithin(absentMillis());
	}

	/**
	 * Returns the daemons that may be delegates.
	 * @return those that were silent for less time than one that is absent
	 */
	List<PeerState> heardLately() {
		return heardWithin(MIN_ABSENT_MILLIS);
	}

	private List<PeerState> heardWithin(long millis) {
		long oldest = this.clock.millis() - millis;
		return this.peers.all().stream().filter((peer) -> peer.receivedMillis() >= oldest).toList();
	}

	int knownCount() {
		return this.targets.size() + 1;
	}

	boolean hasDelegates() {
		return DelegateSelector.hasDelegates(knownCount());
	}

	boolean isLeader() {
		return this.local.storeReachable().getAsBoolean() && presentPeers().stream()
			.noneMatch((peer) -> peer.serving() && peer.storeReachable() && peer.vm().compareTo(this.local.vm()) < 0);
	}

	boolean isReader() {
		return presentPeers().stream()
			.filter((peer) -> peer.serving() && peer.storeReachable() && peer.vm().compareTo(this.local.vm()) < 0)
			.count() < READERS;
	}

	boolean hasEnded(String vm, long start) {
		if (vm.equals(this.local.vm())) {
			return start != this.incarnation;
		}
		long now = this.clock.millis();
		long endedAfter = hasDelegates() ? ROSTER_ENDED_AFTER_MILLIS : ENDED_AFTER_MILLIS;
		PeerState peer = this.peers.get(vm);
		if (peer == null) {
			return now - this.startedAt >= endedAfter;
		}
		boolean silent = now - peer.receivedMillis() > endedAfter;
		if (start > peer.incarnation() && hasDelegates()) {
			// A roster may lag behind a daemon that has just started again.
			return silent;
		}
		return peer.incarnation() != start || !peer.serving() || !peer.storeReachable() || silent;
	}

	/**
	 * Returns the number of periods between two states to another data centre. The
	 * traffic between data centres grows with the square of the number of daemons, so
	 * each of them sends less often when there are many.
	 * @return number of periods, at least 1
	 */
	int crossDataCentrePeriods() {
		return Math.max(1, Math.min(MAX_CROSS_PERIODS, this.targets.size() / DAEMONS_PER_CROSS_PERIOD));
	}

	/**
	 * Returns the silence after which a daemon is absent.
	 * @return time in milliseconds
	 */
	long absentMillis() {
		if (hasDelegates()) {
			return ROSTER_ABSENT_MILLIS;
		}
		return Math.max(MIN_ABSENT_MILLIS,
				TOLERATED_CROSS_LOSSES * crossDataCentrePeriods() * StateExchange.SEND_PERIOD_MILLIS);
	}

	/**
	 * Result of the addition of a state.
	 *
	 * @param previous state known before, {@code null} for none
	 * @param added whether the state was newer
	 */
	record Addition(@Nullable PeerState previous, boolean added) {

		/**
		 * Returns whether the daemon is new, has started again, or has changed whether it
		 * serves or leaves.
		 * @param peer the state that was added
		 * @return whether other daemons should know soon
		 */
		boolean isChange(PeerState peer) {
			return this.added && (this.previous == null || this.previous.incarnation() != peer.incarnation()
					|| this.previous.serving() != peer.serving() || this.previous.leaving() != peer.leaving());
		}

	}

}
