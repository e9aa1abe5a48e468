package io.bilberryvalve.policy.share;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;

/**
 * Teams of a club in start-time fair queueing.
 *
 * @param <T> type of the payload
 */
final class ClubQueue<T> {

	static final Comparator<ClubQueue<?>> ORDER = Comparator.<ClubQueue<?>>comparingDouble((club) -> club.flow.start())
		.thenComparing((club) -> club.id);

	// One stream more than the recent peak, so that a slightly higher peak does not wait.
	private static final int HEADROOM = 1;

	private final ClubId id;

	private final Flow flow = new Flow();

	private final Map<TeamId, TeamQueue<T>> teams = new TreeMap<>();

	private final TreeSet<TeamQueue<T>> active = new TreeSet<>(TeamQueue.ORDER);

	private final PeakWindow peak = new PeakWindow();

	private double virtualTime;

	private double kept;

	private int waiting;

	private int running;

	ClubQueue(ClubId id) {
		this.id = id;
	}

	ClubId id() {
		return this.id;
	}

	Flow flow() {
		return this.flow;
	}

	TreeSet<TeamQueue<T>> active() {
		return this.active;
	}

	TeamQueue<T> team(TeamKey key) {
		return this.teams.computeIfAbsent(key.team(), (team) -> new TeamQueue<>(key));
	}

	int waiting() {
		return this.waiting;
	}

	int running() {
		return this.running;
	}

	void keep(double streams) {
		this.kept = streams;
	}

	boolean belowKept() {
		return this.running < this.kept;
	}

	/**
	 * Returns the streams kept for this club that it does not use.
	 * @return the number of streams
	 */
	double unused() {
		return Math.max(0, this.kept - this.running);
	}

	void add(AdmissionTicket<T> ticket, long nowMillis) {
		TeamQueue<T> team = team(ticket.team());
		if (team.waiting().isEmpty()) {
			team.flow().activate(this.virtualTime);
			this.active.add(team);
		}
		team.add(ticket);
		this.waiting++;
		this.peak.record(this.running + this.waiting, nowMillis);
	}

	AdmissionTicket<T> head() {
		return this.active.first().waiting().first();
	}

	void remove(AdmissionTicket<T> ticket) {
		TeamQueue<T> team = team(ticket.team());
		team.remove(ticket);
		this.waiting--;
		if (team.waiting().isEmpty()) {
			this.active.remove(team);
		}
	}

	void start(AdmissionTicket<T> ticket, double weight, long nowMillis) {
		TeamQueue<T> team = team(ticket.team());
		this.active.remove(team);
		this.virtualTime = Math.max(this.virtualTime, team.flow().start());
		team.remove(ticket);
		team.flow().serve(ticket.cost(), weight);
		team.started(ticket);
		if (!team.waiting().isEmpty()) {
			this.active.add(team);
		}
		this.waiting--;
		this.running++;
		this.peak.record(this.running + this.waiting, nowMillis);
	}

	void finish(AdmissionTicket<T> ticket, int actual, double weight, long nowMillis) {
		TeamQueue<T> team = team(ticket.team());
		boolean wasActive = this.active.remove(team);
		team.flow().correct(actual - ticket.cost(), weight);
		if (wasActive) {
			this.active.add(team);
		}
		team.finished(ticket, actual, nowMillis);
		this.running--;
	}

	ClubDemand demand(long nowMillis) {
		this.peak.record(this.running + this.waiting, nowMillis);
		int highest = this.peak.peak(nowMillis);
		int streams = (this.waiting > 0 || highest == 0) ? this.running + this.waiting : highest + HEADROOM;
		List<TeamDemand> demands = this.teams.values().stream().map((team) -> team.demand(nowMillis)).toList();
		return new ClubDemand(this.id, streams, demands);
	}

}
