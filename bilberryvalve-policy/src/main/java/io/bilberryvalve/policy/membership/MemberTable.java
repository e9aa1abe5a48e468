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
 * The members that one daemon knows, without itself. Evidence is ordered by incarnation
 * and then by heartbeat number, so that late messages of an old process are ignored and a
 * wrong suspicion ends with the next heartbeat. Not safe for use by several threads.
 */
public final class MemberTable {

	// Each change is repeated to this many peers, so that it reaches all daemons although
	// digests carry only a part of the table.
	private static final int REPETITIONS = 12;

	private final Clock clock;

	private final MembershipTimes times;

	private final TreeMap<VmId, Entry> entries = new TreeMap<>();

	private final Deque<Repeat> recent = new ArrayDeque<>();

	private Member self;

	private long beat;

	private boolean ready;

	private boolean leaving;

	private @Nullable VmId digestCursor;

	/**
	 * Creates a table without members.
	 * @param self this daemon
	 * @param clock the clock
	 * @param times the time limits
	 */
	public MemberTable(Member self, Clock clock, MembershipTimes times) {
		this.self = self;
		this.clock = clock;
		this.times = times;
	}

	/**
	 * Starts the next heartbeat of this daemon.
	 * @param isReady whether this daemon is or has been ready for callers
	 * @param isLeaving whether this daemon is leaving; it stays so until the process ends
	 * @return what this daemon tells about itself
	 */
	public MemberNews nextBeat(boolean isReady, boolean isLeaving) {
		this.beat++;
		this.ready |= isReady;
		this.leaving |= isLeaving;
		return own();
	}

	/**
	 * Returns this daemon with its current incarnation.
	 * @return this daemon
	 */
	public Member self() {
		return this.self;
	}

	/**
	 * Handles a heartbeat that arrived on a connection to the member itself.
	 * @param news what the member tells about itself
	 * @return the change, or empty if there is none or the message is from an old run
	 */
	public Optional<MemberChange> heartbeat(MemberNews news) {
		if (news.member().vm().equals(this.self.vm())) {
			return Optional.empty();
		}
		Entry entry = entry(news.member());
		if (entry == null || news.beat() < entry.beat) {
			return Optional.empty();
		}
		entry.direct = true;
		if (news.beat() == entry.beat) {
			return Optional.empty();
		}
		return alive(entry, news);
	}

	/**
	 * Handles the planned end of the connection to a member, which keeps running. From
	 * now on news of it come from other daemons.
	 * @param member the member
	 */
	public void detach(Member member) {
		Entry entry = this.entries.get(member.vm());
		if (entry != null && entry.member.incarnation() == member.incarnation()) {
			entry.direct = false;
		}
	}

	/**
	 * Handles what another daemon tells about a member. News about this daemon that are
	 * wrong are refuted: an absence by the next heartbeat number, a higher incarnation by
	 * taking a still higher one.
	 * @param news the news
	 * @return the change, or empty if the news are old or not new
	 */
	public Optional<MemberChange> learn(MemberNews news) {
		if (news.member().vm().equals(this.self.vm())) {
			refute(news);
			return Optional.empty();
		}
		if (news.absent()) {
			return learnAbsence(news);
		}
		Entry entry = entry(news.member());
		if (entry == null) {
			return Optional.empty();
		}
		if (news.beat() > entry.beat) {
			return alive(entry, news);
		}
		boolean leavingNow = news.leaving() && !entry.leaving;
		return leavingNow ? markLeaving(entry) : Optional.empty();
	}

	/**
	 * Applies the time limits.
	 * @return the changes
	 */
	public List<MemberChange> tick() {
		List<MemberChange> changes = new ArrayList<>();
		Iterator<Entry> all = this.entries.values().iterator();
		while (all.hasNext()) {
			Entry entry = all.next();
			if (silence(entry).compareTo(this.times.forget()) >= 0) {
				all.remove();
			}
			else {
				update(entry).ifPresent(changes::add);
			}
		}
		return changes;
	}

	/**
	 * Returns the known members in the order of their VMs.
	 * @return the members
	 */
	public List<MemberView> members() {
		return this.entries.values().stream().map((entry) -> entry.view()).toList();
	}

	/**
	 * Returns the number of known members.
	 * @return the number
	 */
	public int size() {
		return this.entries.size();
	}

	/**
	 * Returns news for another daemon: this daemon first, then recent changes, then
	 * further members in turn.
	 * @param limit largest number of members
	 * @return the news
	 */
	public List<MemberNews> digest(int limit) {
		TreeMap<VmId, MemberNews> chosen = new TreeMap<>();
		int repeats = this.recent.size();
		for (int i = 0; i < repeats && chosen.size() < limit - 1; i++) {
			repeat(this.recent.removeFirst(), chosen);
		}
		int left = Math.min(this.entries.size(), limit - 1 - chosen.size());
		for (int i = 0; i < left; i++) {
			Entry next = next();
			chosen.put(next.member.vm(), next.news());
		}
		List<MemberNews> digest = new ArrayList<>(chosen.size() + 1);
		digest.add(own());
		digest.addAll(chosen.values());
		return digest;
	}

	private MemberNews own() {
		return new MemberNews(this.self, this.beat, this.ready, this.leaving, false);
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

	private Optional<MemberChange> alive(Entry entry, MemberNews news) {
		boolean readyNow = news.ready() && !entry.ready;
		entry.beat = news.beat();
		entry.heard = this.clock.instant();
		entry.reportedAbsent = false;
		entry.leaving |= news.leaving();
		entry.ready |= news.ready();
		Optional<MemberChange> change = update(entry);
		return (change.isEmpty() && readyNow) ? Optional.of(changed(entry, entry.state)) : change;
	}

	private Optional<MemberChange> markLeaving(Entry entry) {
		entry.leaving = true;
		return update(entry);
	}

	private Optional<MemberChange> learnAbsence(MemberNews news) {
		Entry entry = this.entries.get(news.member().vm());
		if (entry == null || entry.member.incarnation() != news.member().incarnation() || news.beat() < entry.beat) {
			return Optional.empty();
		}
		if (entry.direct && silence(entry).compareTo(this.times.suspect()) < 0) {
			return Optional.empty();
		}
		entry.reportedAbsent = true;
		return update(entry);
	}

	private void refute(MemberNews news) {
		long told = news.member().incarnation();
		if (told > this.self.incarnation()) {
			this.self = new Member(this.self.vm(), told + 1, this.self.dataCentre(), this.self.callerAddress(),
					this.self.peerAddress());
		}
		else if (told == this.self.incarnation() && news.absent()) {
			this.beat = Math.max(this.beat, news.beat()) + 1;
		}
	}

	private Optional<MemberChange> update(Entry entry) {
		MemberState before = entry.known ? entry.state : null;
		MemberState after = evaluate(entry);
		if (before == after) {
			return Optional.empty();
		}
		entry.state = after;
		entry.known = true;
		return Optional.of(changed(entry, before));
	}

	private MemberChange changed(Entry entry, @Nullable MemberState before) {
		if (entry.state != MemberState.SUSPECT) {
			this.recent.addLast(new Repeat(entry.member.vm(), REPETITIONS));
		}
		return new MemberChange(entry.member, before, entry.state);
	}

	private MemberState evaluate(Entry entry) {
		Duration silence = silence(entry);
		Duration absent = entry.direct ? this.times.absent() : this.times.indirect();
		if (entry.reportedAbsent || silence.compareTo(absent) >= 0) {
			return MemberState.ABSENT;
		}
		if (entry.leaving) {
			return MemberState.LEAVING;
		}
		boolean overdue = entry.direct && silence.compareTo(this.times.suspect()) >= 0;
		return overdue ? MemberState.SUSPECT : MemberState.LIVE;
	}

	private Duration silence(Entry entry) {
		return Duration.between(entry.heard, this.clock.instant());
	}

	private void repeat(Repeat repeat, TreeMap<VmId, MemberNews> chosen) {
		Entry entry = this.entries.get(repeat.vm());
		if (entry == null || chosen.put(repeat.vm(), entry.news()) != null) {
			return;
		}
		if (repeat.left() > 1) {
			this.recent.addLast(new Repeat(repeat.vm(), repeat.left() - 1));
		}
	}

	private Entry next() {
		VmId key = (this.digestCursor != null) ? this.entries.higherKey(this.digestCursor) : null;
		if (key == null) {
			key = this.entries.firstKey();
		}
		this.digestCursor = key;
		return this.entries.get(key);
	}

	private record Repeat(VmId vm, int left) {

	}

	private static final class Entry {

		private final Member member;

		private Instant heard;

		private long beat = -1;

		private boolean direct;

		private boolean ready;

		private boolean leaving;

		private boolean reportedAbsent;

		private boolean known;

		private MemberState state = MemberState.LIVE;

		Entry(Member member, Instant heard) {
			this.member = member;
			this.heard = heard;
		}

		MemberNews news() {
			return new MemberNews(this.member, this.beat, this.ready, this.leaving, this.state == MemberState.ABSENT);
		}

		MemberView view() {
			return new MemberView(this.member, this.state, this.ready);
		}

	}

}
