package io.bilberryvalve.policy.membership;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import io.bilberryvalve.model.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the members that one daemon knows, without itself, by heartbeats and gossip.
 * Updates are ordered by incarnation and then by heartbeat number, so that late messages
 * of an old process are ignored and a wrong suspicion ends with the next heartbeat. Not
 * safe for use by several threads.
 */
public final class MemberTable {

	// Number of digests that repeat a change, so that it reaches all daemons although
	// a digest contains only a part of the table.
	private static final int REPETITIONS = 12;

	private final Clock clock;

	private final MembershipTimeouts times;

	private final TreeMap<VmId, Entry> entries = new TreeMap<>();

	private final Deque<Rebroadcast> rebroadcasts = new ArrayDeque<>();

	private Member self;

	private long heartbeat;

	private boolean ready;

	private boolean leaving;

	private @Nullable VmId digestCursor;

	/**
	 * Creates a table without members.
	 * @param self this daemon
	 * @param clock clock that measures the silence of members
	 * @param times timeouts after which a silent member changes its state
	 */
	public MemberTable(Member self, Clock clock, MembershipTimeouts times) {
		this.self = self;
		this.clock = clock;
		this.times = times;
	}

	/**
	 * Starts the next heartbeat of this daemon.
	 * @param isReady whether this daemon is or has been ready for callers
	 * @param isLeaving whether this daemon is leaving; once set, it stays so until the
	 * process ends
	 * @return update about this daemon, to be sent to its peers
	 */
	public MemberUpdate nextHeartbeat(boolean isReady, boolean isLeaving) {
		this.heartbeat++;
		this.ready |= isReady;
		this.leaving |= isLeaving;
		return ownUpdate();
	}

	/**
	 * Returns this daemon with its current incarnation.
	 * @return member that represents this daemon
	 */
	public Member self() {
		return this.self;
	}

	/**
	 * Handles a heartbeat that arrived on a direct connection to the member.
	 * @param update update of the member about itself
	 * @return the change, or empty if there is none or the heartbeat is from an old run
	 */
	public Optional<MemberChange> handleHeartbeat(MemberUpdate update) {
		if (update.member().vm().equals(this.self.vm())) {
			return Optional.empty();
		}
		Entry entry = entry(update.member());
		if (entry == null || update.heartbeat() < entry.heartbeat) {
			return Optional.empty();
		}
		entry.direct = true;
		if (update.heartbeat() == entry.heartbeat) {
			return Optional.empty();
		}
		return markAlive(entry, update);
	}

	/**
	 * Handles the planned end of the connection to a member that keeps running. From now
	 * on updates about it come from other daemons.
	 * @param member member that was connected
	 */
	public void detach(Member member) {
		Entry entry = this.entries.get(member.vm());
		if (entry != null && entry.member.incarnation() == member.incarnation()) {
			entry.direct = false;
		}
	}

	/**
	 * Handles an update of another daemon about a member. Wrong updates about this daemon
	 * are refuted: an absence by a higher heartbeat number, a higher incarnation by
	 * taking a still higher one.
	 * @param update update about any member
	 * @return the change, or empty if the update is outdated or contains nothing new
	 */
	public Optional<MemberChange> handleGossip(MemberUpdate update) {
		if (update.member().vm().equals(this.self.vm())) {
			refute(update);
			return Optional.empty();
		}
		if (update.absent()) {
			return handleAbsence(update);
		}
		Entry entry = entry(update.member());
		if (entry == null) {
			return Optional.empty();
		}
		if (update.heartbeat() > entry.heartbeat) {
			return markAlive(entry, update);
		}
		boolean leavingNow = update.leaving() && !entry.leaving;
		return leavingNow ? markLeaving(entry) : Optional.empty();
	}

	/**
	 * Applies the timeouts, and removes members that have been silent for long.
	 * @return changes of the remaining members
	 */
	public List<MemberChange> tick() {
		List<MemberChange> changes = new ArrayList<>();
		Iterator<Entry> all = this.entries.values().iterator();
		while (all.hasNext()) {
			Entry entry = all.next();
			if (silence(entry).compareTo(this.times.removeAfter()) >= 0) {
				all.remove();
			}
			else {
				refreshState(entry).ifPresent(changes::add);
			}
		}
		return changes;
	}

	/**
	 * Returns the known members in the order of their VMs.
	 * @return members with their states, without this daemon
	 */
	public List<MemberView> members() {
		return this.entries.values().stream().map((entry) -> entry.view()).toList();
	}

	/**
	 * Returns the number of known members.
	 * @return number of members, without this daemon
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Returns updates to send to another daemon: about this daemon, about members that
	 * changed recently, and about further members in turn.
	 * @param limit largest number of updates
	 * @return the updates, the one about this daemon first
	 */
	public List<MemberUpdate> digest(int limit) {
		TreeMap<VmId, MemberUpdate> chosen = new TreeMap<>();
		int repeats = this.rebroadcasts.size();
		for (int i = 0; i < repeats && chosen.size() < limit - 1; i++) {
			rebroadcast(this.rebroadcasts.removeFirst(), chosen);
		}
		int left = Math.min(this.entries.size(), limit - 1 - chosen.size());
		for (int i = 0; i < left; i++) {
			Entry next = nextForDigest();
			chosen.put(next.member.vm(), next.toUpdate());
		}
		List<MemberUpdate> digest = new ArrayList<>(chosen.size() + 1);
		digest.add(ownUpdate());
		digest.addAll(chosen.values());
		return digest;
	}

	private MemberUpdate ownUpdate() {
		return new MemberUpdate(this.self, this.heartbeat, this.ready, this.leaving, false);
	}

	private @Nullable Entry entry(Member member) {
		Entry entry = this.entries.get(member.vm());
		if (entry != null && entry.member.incarnation() >= member.incarnation()) {
			return (entry.member.incarnation() == member.incarnation()) ? entry : null;
		}
		Entry created = new Entry(member, this.clock.instant());
		this.entries.put(member.vm(), created);
		return created;
	}

	private Optional<MemberChange> markAlive(Entry entry, MemberUpdate update) {
		boolean readyNow = update.ready() && !entry.ready;
		entry.heartbeat = update.heartbeat();
		entry.lastHeard = this.clock.instant();
		entry.reportedAbsent = false;
		entry.leaving |= update.leaving();
		entry.ready |= update.ready();
		Optional<MemberChange> change = refreshState(entry);
		return (change.isEmpty() && readyNow) ? Optional.of(recordChange(entry, entry.state)) : change;
	}

	private Optional<MemberChange> markLeaving(Entry entry) {
		entry.leaving = true;
		return refreshState(entry);
	}

	private Optional<MemberChange> handleAbsence(MemberUpdate update) {
		Entry entry = this.entries.get(update.member().vm());
		if (entry == null || entry.member.incarnation() != update.member().incarnation()
				|| update.heartbeat() < entry.heartbeat) {
			return Optional.empty();
		}
		if (entry.direct && silence(entry).compareTo(this.times.suspectAfter()) < 0) {
			return Optional.empty();
		}
		entry.reportedAbsent = true;
		return refreshState(entry);
	}

	private void refute(MemberUpdate update) {
		long claimed = update.member().incarnation();
		if (claimed > this.self.incarnation()) {
			this.self = new Member(this.self.vm(), claimed + 1, this.self.dataCentre(), this.self.callerAddress(),
					this.self.peerAddress());
		}
		else if (claimed == this.self.incarnation() && update.absent()) {
			this.heartbeat = Math.max(this.heartbeat, update.heartbeat()) + 1;
		}
	}

	private Optional<MemberChange> refreshState(Entry entry) {
		MemberState before = entry.known ? entry.state : null;
		MemberState after = currentState(entry);
		if (before == after) {
			return Optional.empty();
		}
		entry.state = after;
		entry.known = true;
		return Optional.of(recordChange(entry, before));
	}

	private MemberChange recordChange(Entry entry, @Nullable MemberState before) {
		if (entry.state != MemberState.SUSPECT) {
			this.rebroadcasts.addLast(new Rebroadcast(entry.member.vm(), REPETITIONS));
		}
		return new MemberChange(entry.member, before, entry.state);
	}

	private MemberState currentState(Entry entry) {
		Duration silence = silence(entry);
		Duration absent = entry.direct ? this.times.absentAfter() : this.times.indirectAbsentAfter();
		if (entry.reportedAbsent || silence.compareTo(absent) >= 0) {
			return MemberState.ABSENT;
		}
		if (entry.leaving) {
			return MemberState.LEAVING;
		}
		boolean overdue = entry.direct && silence.compareTo(this.times.suspectAfter()) >= 0;
		return overdue ? MemberState.SUSPECT : MemberState.LIVE;
	}

	private Duration silence(Entry entry) {
		return Duration.between(entry.lastHeard, this.clock.instant());
	}

	private void rebroadcast(Rebroadcast repeat, TreeMap<VmId, MemberUpdate> chosen) {
		Entry entry = this.entries.get(repeat.vm());
		if (entry == null || chosen.put(repeat.vm(), entry.toUpdate()) != null) {
			return;
		}
		if (repeat.left() > 1) {
			this.rebroadcasts.addLast(new Rebroadcast(repeat.vm(), repeat.left() - 1));
		}
	}

	private Entry nextForDigest() {
		VmId key = (this.digestCursor != null) ? this.entries.higherKey(this.digestCursor) : null;
		if (key == null) {
			key = this.entries.firstKey();
		}
		this.digestCursor = key;
		return this.entries.get(key);
	}

	private record Rebroadcast(VmId vm, int left) {

	}

	private static final class Entry {

		private final Member member;

		private Instant lastHeard;

		private long heartbeat = -1;

		private boolean direct;

		private boolean ready;

		private boolean leaving;

		private boolean reportedAbsent;

		private boolean known;

		private MemberState state = MemberState.LIVE;

		Entry(Member member, Instant heard) {
			this.member = member;
			this.lastHeard = heard;
		}

		MemberUpdate toUpdate() {
			return new MemberUpdate(this.member, this.heartbeat, this.ready, this.leaving,
					this.state == MemberState.ABSENT);
		}

		MemberView view() {
			return new MemberView(this.member, this.state, this.ready);
		}

	}

}
