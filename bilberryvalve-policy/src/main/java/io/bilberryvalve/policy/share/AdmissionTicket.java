package io.bilberryvalve.policy.share;

import java.util.Comparator;

/**
 * A request in the admission queue.
 *
 * @param <T> type of the payload
 */
public final class AdmissionTicket<T> {

	// A request of the next higher priority is treated as if it had arrived this much
	// earlier. Since the head start is bounded, low priorities do not starve.
	static final long HEAD_START_MILLIS = 500;

	static final Comparator<AdmissionTicket<?>> ORDER = Comparator
		.<AdmissionTicket<?>>comparingLong((ticket) -> ticket.rank)
		.thenComparingLong((ticket) -> ticket.sequence);

	static final Comparator<AdmissionTicket<?>> BY_LATEST_START = Comparator
		.<AdmissionTicket<?>>comparingLong((ticket) -> ticket.latestStartMillis)
		.thenComparingLong((ticket) -> ticket.sequence);

	private final TeamKey team;

	private final int cost;

	private final T payload;

	private final long sequence;

	private final long rank;

	private final long latestStartMillis;

	private long startMillis;

	private State state = State.WAITING;

	AdmissionTicket(TeamKey team, int cost, int priority, T payload, long sequence, long nowMillis,
			long latestStartMillis) {
		this.team = team;
		this.cost = cost;
		this.payload = payload;
		this.sequence = sequence;
		this.rank = nowMillis - priority * HEAD_START_MILLIS;
		this.latestStartMillis = latestStartMillis;
	}

	/**
	 * Returns the team.
	 * @return the team
	 */
	public TeamKey team() {
		return this.team;
	}

	/**
	 * Returns the predicted token cost.
	 * @return the cost in tokens
	 */
	public int cost() {
		return this.cost;
	}

	/**
	 * Returns what the caller attached to the request.
	 * @return the payload
	 */
	public T payload() {
		return this.payload;
	}

	/**
	 * Returns whether the request was started by the queue and has not been finished.
	 * @return whether it runs
	 */
	public boolean running() {
		return this.state == State.RUNNING;
	}

	long latestStartMillis() {
		return this.latestStartMillis;
	}

	long startMillis() {
		return this.startMillis;
	}

	void start(long nowMillis) {
		this.state = State.RUNNING;
		this.startMillis = nowMillis;
	}

	void end() {
		this.state = State.ENDED;
	}

	private enum State {

		WAITING, RUNNING, ENDED

	}

}
