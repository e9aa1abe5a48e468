package io.bilberryvalve.policy.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Requests that wait for a place at the runners of one service. Answers the load pattern
 * of a burst above the capacity: requests that can still be answered on time go first, in
 * the order of priority and arrival; those that are late already use what is left; a
 * request whose expected wait exceeds its patience is rejected at once instead of waiting
 * in vain. An instance is not safe for use by several threads.
 *
 * @param <T> type of the requests
 */
public final class WaitQueue<T> {

	/** Weight of the newest interval between places in the estimate. */
	private static final double SMOOTHING = 0.1;

	/**
	 * Shortest time to tell a caller to wait; an immediate return would find no place.
	 */
	private static final long MIN_RETRY_AFTER_MILLIS = 200;

	/** Longest time to tell a caller to wait. */
	private static final long MAX_RETRY_AFTER_MILLIS = 3000;

	/** Before any place became free, places are expected at this interval. */
	private static final double INITIAL_INTERVAL_MILLIS = 50;

	private final Comparator<Waiting<T>> order = Comparator.comparingInt((Waiting<T> waiting) -> waiting.priority)
		.thenComparingLong((waiting) -> waiting.arrived)
		.thenComparingLong((waiting) -> waiting.sequence);

	private final TreeSet<Waiting<T>> onTime = new TreeSet<>(this.order);

	private final TreeSet<Waiting<T>> late = new TreeSet<>(this.order);

	private long sequence;

	private long lastAdmission = -1;

	private double admissionInterval = INITIAL_INTERVAL_MILLIS;

	/**
	 * Adds a request that found no place.
	 * @param item the request
	 * @param priority rank, 0 first
	 * @param now time in milliseconds
	 * @param patience how long it may wait
	 * @return 0 if the request waits, otherwise it is rejected and the value is the time
	 * in milliseconds after which the caller may come back
	 */
	public long offer(T item, int priority, long now, WaitLimits patience) {
		double wait = (this.onTime.size() + 1) * this.admissionInterval;
		if (now + wait > patience.rejectAt()) {
			return retryAfterMillis();
		}
		Waiting<T> waiting = new Waiting<>(item, priority, now, this.sequence++, patience);
		((now < patience.onTimeUntil()) ? this.onTime : this.late).add(waiting);
		return 0;
	}

	/**
	 * Returns the time after which a rejected caller may come back: when the present line
	 * has drained.
	 * @return milliseconds
	 */
	public long retryAfterMillis() {
		double drain = (size() + 1) * this.admissionInterval;
		return Math.round(Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, drain)));
	}

	/**
	 * Returns the requests that should get the next places, without removing them. Some
	 * may fit nowhere at present, because they are large or must avoid some runners;
	 * those behind them need not wait for that.
	 * @param now time in milliseconds
	 * @param most largest number of requests
	 * @return the requests in their order
	 */
	public List<T> peek(long now, int most) {
		while (!this.onTime.isEmpty() && now >= this.onTime.first().limits.onTimeUntil()) {
			this.late.add(this.onTime.pollFirst());
		}
		return Stream.concat(this.onTime.stream(), this.late.stream())
			.limit(most)
			.map((waiting) -> waiting.item)
			.toList();
	}

	/**
	 * Removes a request, because it got a place or its caller has left.
	 * @param item the request
	 * @return whether it waited
	 */
	public boolean remove(T item) {
		return this.onTime.removeIf((waiting) -> waiting.item == item)
				|| this.late.removeIf((waiting) -> waiting.item == item);
	}

	/**
	 * A request got a place after waiting; the interval between places is the basis of
	 * the expected wait.
	 * @param now time in milliseconds
	 */
	public void recordAdmission(long now) {
		if (this.lastAdmission >= 0) {
			this.admissionInterval += SMOOTHING * (Math.min(now - this.lastAdmission, 1000) - this.admissionInterval);
		}
		this.lastAdmission = now;
	}

	/**
	 * Removes the requests that have waited as long as they may, and the late ones whose
	 * turn will not come in time because fresh ones go first.
	 * @param now time in milliseconds
	 * @return the requests, to be rejected
	 */
	public List<T> expire(long now) {
		List<T> expired = new ArrayList<>();
		int before = expire(this.onTime, now, 0, expired);
		expire(this.late, now, before, expired);
		return expired;
	}

	private int expire(TreeSet<Waiting<T>> set, long now, int before, List<T> expired) {
		int position = before;
		for (Iterator<Waiting<T>> all = set.iterator(); all.hasNext();) {
			Waiting<T> waiting = all.next();
			double expected = (set == this.late) ? now + position * this.admissionInterval : now;
			if (Math.max(now, expected) >= waiting.limits.rejectAt()) {
				all.remove();
				expired.add(waiting.item);
			}
			else {
				position++;
			}
		}
		return position;
	}

	/**
	 * Returns the length of the line.
	 * @return number of waiting requests
	 */
	public int size() {
		return this.onTime.size() + this.late.size();
	}

	/**
	 * How long a request may wait.
	 *
	 * @param onTimeUntil time in milliseconds until which a place leads to an answer
	 * within the target latency
	 * @param rejectAt time in milliseconds at which the request is rejected
	 */
	public record WaitLimits(long onTimeUntil, long rejectAt) {

	}

	private record Waiting<T>(T item, int priority, long arrived, long sequence, WaitLimits limits) {

	}

}
