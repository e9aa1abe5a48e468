package io.bilberryvalve.gateway.peer;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import org.jspecify.annotations.Nullable;

/**
 * Newest state of each other daemon. Datagrams may arrive late, so states are ordered by
 * the start of the daemon and by their sequence number. The number of daemons is limited,
 * since any sender can invent names. One thread may add states while others read them.
 */
final class PeerTable {

	/**
	 * Least time between two states of an earlier incarnation until it replaces a later
	 * one that is silent. Datagrams that were held up arrive together.
	 */
	private static final long CONFIRMATION_MILLIS = 100;

	/** Largest number of daemons; more than a federation has. */
	static final int MAX_DAEMONS = 5000;

	/** Silence after which a daemon makes room for another one. */
	private static final long RETENTION_MILLIS = 60_000;

	private final Map<String, PeerState> states = new ConcurrentHashMap<>();

	/** First states of daemons that seem to have started with their clock set back. */
	private final Map<String, PeerState> unconfirmed = new ConcurrentHashMap<>();

	/**
	 * Returns the newest state of a daemon.
	 * @param vm name of the VM of the daemon
	 * @return the state, or {@code null} if none has arrived
	 */
	@Nullable PeerState get(String vm) {
		return this.states.get(vm);
	}

	/**
	 * Returns the newest state of each daemon.
	 * @return a view that follows all changes
	 */
	Collection<PeerState> all() {
		return this.states.values();
	}

	/**
	 * Adds a state if it is newer than the known one, and if there is room for its
	 * daemon.
	 * @param next state that has arrived
	 * @param absentMillis silence after which a daemon is absent
	 * @return whether the state was added
	 */
	boolean add(PeerState next, long absentMillis) {
		PeerState known = this.states.get(next.vm());
		if (known == null && !hasRoom(next.receivedMillis())) {
			return false;
		}
		boolean newer = known == null || next.incarnation() > known.incarnation()
				|| (next.incarnation() == known.incarnation() && next.sequence() > known.sequence());
		if (!newer && !replacesLaterIncarnation(next, known, absentMillis)) {
			return false;
		}
		this.states.put(next.vm(), next);
		this.unconfirmed.remove(next.vm());
		return true;
	}

	/**
	 * Records that a message other than a state has arrived from a known daemon.
	 * @param vm name of the VM of the daemon
	 * @param incarnation number of its start
	 * @param sequence number of the message
	 * @param now arrival time in milliseconds
	 * @return whether the message is newer than all others of the daemon
	 */
	boolean touch(String vm, long incarnation, long sequence, long now) {
		PeerState known = this.states.get(vm);
		if (known == null || known.incarnation() != incarnation || known.sequence() >= sequence) {
			return false;
		}
		this.states.put(vm, known.heardAgain(sequence, now));
		return true;
	}

	private boolean hasRoom(long now) {
		if (this.states.size() >= MAX_DAEMONS) {
			this.states.values().removeIf((state) -> now - state.receivedMillis() > RETENTION_MILLIS);
			this.unconfirmed.keySet().retainAll(this.states.keySet());
		}
		return this.states.size() < MAX_DAEMONS;
	}

	// A daemon whose clock was set back before its start has a lower incarnation than the
	// one that has ended. It keeps sending, unlike datagrams that were held up.
	private boolean replacesLaterIncarnation(PeerState next, PeerState known, long absentMillis) {
		if (next.incarnation() >= known.incarnation()
				|| next.receivedMillis() - known.receivedMillis() < absentMillis) {
			return false;
		}
		PeerState first = this.unconfirmed.get(next.vm());
		if (first == null || first.incarnation() != next.incarnation()) {
			this.unconfirmed.put(next.vm(), next);
			return false;
		}
		return next.sequence() > first.sequence()
				&& next.receivedMillis() - first.receivedMillis() >= CONFIRMATION_MILLIS;
	}

}
