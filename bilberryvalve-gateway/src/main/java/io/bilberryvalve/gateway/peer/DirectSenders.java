package io.bilberryvalve.gateway.peer;

import java.util.HashMap;
import java.util.Map;

/**
 * Finds daemons that send their state to this one in each period, although this one is
 * not their delegate. They know few daemons yet, send to each of these, and expect states
 * of them. Confined to one thread.
 */
final class DirectSenders {

	/**
	 * Time between two states of such a daemon, of which one may be lost; below the
	 * period in which it is answered, so that two daemons do not answer each other
	 * without end.
	 */
	private static final long MAX_GAP_MILLIS = 450;

	/** Number of states in a row that are no coincidence of urgent ones. */
	private static final int FREQUENT = 4;

	private final Map<String, Streak> streaks = new HashMap<>();

	/**
	 * Records that a state has arrived directly.
	 * @param vm name of the VM of the sender
	 * @param now current time in milliseconds
	 */
	void record(String vm, long now) {
		Streak streak = this.streaks.get(vm);
		boolean continued = streak != null && now - streak.at <= MAX_GAP_MILLIS;
		if (streak == null && this.streaks.size() >= PeerTable.MAX_DAEMONS) {
			this.streaks.values().removeIf((known) -> now - known.at > MAX_GAP_MILLIS);
		}
		this.streaks.put(vm, new Streak(continued ? streak.count + 1 : 1, now));
	}

	/**
	 * Returns whether a daemon sends its state in each period.
	 * @param vm name of its VM
	 * @param now current time in milliseconds
	 * @return whether several states have arrived in a row
	 */
	boolean isFrequent(String vm, long now) {
		Streak streak = this.streaks.get(vm);
		return streak != null && streak.count >= FREQUENT && now - streak.at <= MAX_GAP_MILLIS;
	}

	private record Streak(int count, long at) {

	}

}
