package io.bilberryvalve.policy.share;

import java.util.Comparator;

/**
 * A request in an {@link AdmissionQueue}, from its acceptance until it ends. Not safe for
 * use by several threads.
 *
 * @param <T> type of the object that the caller attaches to a request
 */
public final class AdmissionTicket<T> {

	// Each step of priority counts as if the request had arrived this much earlier. Since
	// the head start is bounded, requests of low priority do not starve.
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
	 * Returns the team that the request is charged to.
	 * @return the team and its club
	 */
	public TeamKey team() {
		return this.team;
	}

	/**
	 * Returns the predicted token cost.
	 * @return the cost in tokens, at least 1
	 */
	public int cost() {
		return this.cost;
	}

	/**
	 * Returns the object that the caller attached to the request.
	 * @return the object passed to {@link AdmissionQueue#offer}
	 */
	public T payload() {
		return this.payload;
	}

	/**
	 * Returns whether the queue has started the request and the request has not ended.
	 * @return whether it is running
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
