package io.bilberryvalve.policy.share;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;

/**
 * Schedules the teams of one club by start-time fair queueing and counts their requests.
 * The club is itself a flow among the clubs of an {@link AdmissionQueue}. Not safe for
 * use by several threads.
 *
 * @param <T> type of the object that the caller attaches to a request
 */
final class ClubQueue<T> {

	static final Comparator<ClubQueue<?>> ORDER = Comparator.<ClubQueue<?>>comparingDouble((club) -> club.flow.start())
		.thenComparing((club) -> club.id);

	private final ClubId id;

	private final FlowTags flow = new FlowTags();

	private final Map<TeamId, TeamQueue<T>> teams = new TreeMap<>();

	private final TreeSet<TeamQueue<T>> active = new TreeSet<>(TeamQueue.ORDER);

	private final PeakWindow peak = new PeakWindow();

	private ToDoubleFunction<TeamKey> teamWeights;

	private double virtualTime;

	private int waiting;

	private int running;

	ClubQueue(ClubId id, ToDoubleFunction<TeamKey> teamWeights, double weight) {
		this.id = id;
		this.teamWeights = teamWeights;
		this.flow.setWeight(weight, 0);
	}

	ClubId id() {
		return this.id;
	}

	FlowTags flow() {
		return this.flow;
	}

	TreeSet<TeamQueue<T>> active() {
		return this.active;
	}

	TeamQueue<T> team(TeamKey key) {
		return this.teams.computeIfAbsent(key.team(), (team) -> createTeam(key));
	}

	/**
	 * Changes the weights of the club and its teams.
	 * @param next returns the weight of a team, positive
	 * @param weight weight of the club, positive
	 * @param clubTime virtual time of the scheduler of clubs
	 */
	void setWeights(ToDoubleFunction<TeamKey> next, double weight, double clubTime) {
		this.flow.setWeight(weight, clubTime);
		this.teamWeights = next;
		List<TeamQueue<T>> busy = List.copyOf(this.active);
		this.active.clear();
		this.teams.values().forEach((team) -> team.flow().setWeight(next.applyAsDouble(team.key()), this.virtualTime));
		this.active.addAll(busy);
	}

	private TeamQueue<T> createTeam(TeamKey key) {
		TeamQueue<T> team = new TeamQueue<>(key);
		team.flow().setWeight(this.teamWeights.applyAsDouble(key), this.virtualTime);
		return team;
	}

	int waiting() {
		return this.waiting;
	}

	int running() {
		return this.running;
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

	void start(AdmissionTicket<T> ticket, long nowMillis) {
		TeamQueue<T> team = team(ticket.team());
		this.active.remove(team);
		this.virtualTime = Math.max(this.virtualTime, team.flow().start());
		team.remove(ticket);
		team.flow().charge(ticket.cost());
		team.recordStart(ticket);
		if (!team.waiting().isEmpty()) {
			this.active.add(team);
		}
		this.waiting--;
		this.running++;
		this.peak.record(this.running + this.waiting, nowMillis);
	}

	void finish(AdmissionTicket<T> ticket, int actual, long nowMillis) {
		TeamQueue<T> team = team(ticket.team());
		boolean wasActive = this.active.remove(team);
		team.flow().adjustCharge(actual - ticket.cost());
		if (wasActive) {
			this.active.add(team);
		}
		team.recordFinish(ticket, actual, nowMillis);
		this.running--;
	}

	ClubDemand demand(long nowMillis) {
		this.peak.record(this.running + this.waiting, nowMillis);
		List<TeamDemand> demands = this.teams.values().stream().map((team) -> team.demand(nowMillis)).toList();
		double now = demands.stream().mapToDouble(TeamDemand::streams).sum();
		double streams = (this.waiting > 0) ? now : Math.max(now, this.peak.peak(nowMillis));
		return new ClubDemand(this.id, streams, demands);
	}

}
