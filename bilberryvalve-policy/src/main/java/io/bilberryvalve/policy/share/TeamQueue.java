package io.bilberryvalve.policy.share;

import java.util.Comparator;
import java.util.TreeSet;

import io.bilberryvalve.model.TeamId;

/**
 * Waiting requests of one team, with the cost of its waiting, running and recently ended
 * requests. The team is a flow among the teams of its {@link ClubQueue}. Not safe for use
 * by several threads.
 *
 * @param <T> type of the object that the caller attaches to a request
 */
final class TeamQueue<T> {

	static final Comparator<TeamQueue<?>> ORDER = Comparator.<TeamQueue<?>>comparingDouble((team) -> team.flow.start())
		.thenComparing((team) -> team.key.team());

	static final double RECENT_HALF_LIFE_MILLIS = 10_000;

	// Short, so that the streams reserved for refused requests are freed soon after a
	// flood has ended.
	private static final double REFUSAL_HALF_LIFE_MILLIS = 1000;

	private final TeamKey key;

	private final FlowTags flow = new FlowTags();

	private final TreeSet<AdmissionTicket<T>> waiting = new TreeSet<>(AdmissionTicket.ORDER);

	private final DecayedSum recentCost = new DecayedSum(RECENT_HALF_LIFE_MILLIS);

	private final DecayedSum recentSeconds = new DecayedSum(RECENT_HALF_LIFE_MILLIS);

	private final DecayedSum refused = new DecayedSum(REFUSAL_HALF_LIFE_MILLIS);

	private long waitingCost;

	private long runningCost;

	private int running;

	TeamQueue(TeamKey key) {
		this.key = key;
	}

	TeamKey key() {
		return this.key;
	}

	TeamId id() {
		return this.key.team();
	}

	FlowTags flow() {
		return this.flow;
	}

	TreeSet<AdmissionTicket<T>> waiting() {
		return this.waiting;
	}

	long waitingCost() {
		return this.waitingCost;
	}

	void add(AdmissionTicket<T> ticket) {
		this.waiting.add(ticket);
		this.waitingCost += ticket.cost();
	}

	void remove(AdmissionTicket<T> ticket) {
		this.waiting.remove(ticket);
		this.waitingCost -= ticket.cost();
	}

	void recordRefusal(long nowMillis) {
		this.refused.add(1, nowMillis);
	}

	void recordStart(AdmissionTicket<T> ticket) {
		this.running++;
		this.runningCost += ticket.cost();
	}

	void recordFinish(AdmissionTicket<T> ticket, int actual, long nowMillis) {
		this.running--;
		this.runningCost -= ticket.cost();
		this.recentCost.add(actual, nowMillis);
		this.recentSeconds.add((nowMillis - ticket.startMillis()) / 1000.0, nowMillis);
	}

	/**
	 * Returns the expected time for which a request holds a stream.
	 * @param cost predicted cost of the request in tokens
	 * @param nowMillis current time in ms
	 * @return the time in ms, or 0 if too few requests have ended recently: less than 1 s
	 * or 1 token in the decayed sums
	 */
	long expectedServiceMillis(int cost, long nowMillis) {
		double seconds = this.recentSeconds.valueAt(nowMillis);
		double tokens = this.recentCost.valueAt(nowMillis);
		return (seconds < 1 || tokens < 1) ? 0 : (long) (cost * seconds / tokens * 1000);
	}

	TeamDemand demand(long nowMillis) {
		return new TeamDemand(id(), this.waitingCost, this.runningCost, this.waiting.size(), this.running,
				this.refused.valueAt(nowMillis), this.recentCost.valueAt(nowMillis),
				this.recentSeconds.valueAt(nowMillis));
	}

}
