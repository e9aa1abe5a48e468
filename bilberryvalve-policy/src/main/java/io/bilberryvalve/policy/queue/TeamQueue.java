package io.bilberryvalve.policy.queue;

import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Waiting requests of a team in one class, and the service that the team has received.
 *
 * @param <T> type of the requests
 */
final class TeamQueue<T> {

	/**
	 * Resolution in milliseconds at which the cost before a deadline is summed up. Waits
	 * last up to some seconds, so that there are at most some hundred sums.
	 */
	private static final long RESOLUTION_MILLIS = 16;

	private final TreeSet<Waiting<T>> onTime = new TreeSet<>(Waiting.BY_DEADLINE);

	private final TreeSet<Waiting<T>> late = new TreeSet<>(Waiting.BY_DEADLINE);

	/** Cost of the requests that can be on time, by deadline. */
	private final TreeMap<Long, Long> costByDeadline = new TreeMap<>();

	private long onTimeCost;

	private long lateCost;

	private double served;

	TreeSet<Waiting<T>> waiting(boolean isLate) {
		return isLate ? this.late : this.onTime;
	}

	boolean isEmpty() {
		return this.onTime.isEmpty() && this.late.isEmpty();
	}

	long cost(boolean isLate) {
		return isLate ? this.lateCost : this.onTimeCost;
	}

	// Returns the cost of the requests that can be on time and whose deadline is before
	// or at a time, at the resolution of the sums.
	long costUntil(long deadline) {
		if (this.costByDeadline.isEmpty() || deadline >= this.onTime.last().demand().limits().onTimeUntil()) {
			return this.onTimeCost;
		}
		long sum = 0;
		for (long cost : this.costByDeadline.headMap(bucket(deadline), true).values()) {
			sum += cost;
		}
		return sum;
	}

	void add(Waiting<T> waiting) {
		waiting(waiting.isLate()).add(waiting);
		changeCost(waiting, waiting.demand().cost());
	}

	void remove(Waiting<T> waiting) {
		waiting(waiting.isLate()).remove(waiting);
		changeCost(waiting, -waiting.demand().cost());
	}

	private void changeCost(Waiting<T> waiting, long change) {
		if (waiting.isLate()) {
			this.lateCost += change;
			return;
		}
		this.onTimeCost += change;
		this.costByDeadline.merge(bucket(waiting.demand().limits().onTimeUntil()), change,
				(before, added) -> (before + added != 0) ? before + added : null);
	}

	private static long bucket(long deadline) {
		return Math.floorDiv(deadline, RESOLUTION_MILLIS);
	}

	// Moves the requests that can no longer be on time behind the others.
	void moveLate(long now) {
		while (!this.onTime.isEmpty() && now >= this.onTime.first().demand().limits().onTimeUntil()) {
			Waiting<T> waiting = this.onTime.first();
			remove(waiting);
			waiting.setLate();
			add(waiting);
		}
	}

	// Returns the cost that this team has been served, on the scale of its class.
	double served() {
		return this.served;
	}

	void raiseServed(double least) {
		this.served = Math.max(this.served, least);
	}

	void charge(long cost) {
		this.served += cost;
	}

}
