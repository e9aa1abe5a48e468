package io.bilberryvalve.policy.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Queue of requests that wait for a slot at the runners of one service. During a burst
 * above the capacity, requests that can still be answered on time are served first, in
 * the order of priority and arrival. Requests that are already late get the remaining
 * slots. A request whose expected wait exceeds its limit is rejected at once, since it
 * would only wait and be rejected later. An instance is not safe for use by several
 * threads.
 *
 * @param <T> type of the requests
 */
public final class WaitQueue<T> {

	/** Weight of the newest value in the smoothed interval between admissions. */
	private static final double SMOOTHING = 0.1;

	/**
	 * Shortest delay before a rejected caller may retry; an immediate retry would find no
	 * slot.
	 */
	private static final long MIN_RETRY_AFTER_MILLIS = 200;

	/** Longest delay before a rejected caller may retry. */
	private static final long MAX_RETRY_AFTER_MILLIS = 3000;

	/** Interval between admissions that is assumed before any was measured. */
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
	 * Adds a request that found no free slot.
	 * @param item request to add
	 * @param priority priority, lower numbers are served first
	 * @param now present time in milliseconds
	 * @param limits how long it may wait
	 * @return 0 if the request was added; otherwise it is rejected, and the value is the
	 * delay in milliseconds after which the caller may retry
	 */
	public long offer(T item, int priority, long now, WaitLimits limits) {
		double expectedWait = (this.onTime.size() + 1) * this.admissionInterval;
		if (now + expectedWait > limits.rejectAt()) {
			return retryAfterMillis();
		}
		Waiting<T> waiting = new Waiting<>(item, priority, now, this.sequence++, limits);
		((now < limits.onTimeUntil()) ? this.onTime : this.late).add(waiting);
		return 0;
	}

	/**
	 * Returns the delay after which a rejected caller may retry: the expected time until
	 * the present queue has drained.
	 * @return milliseconds
	 */
	public long retryAfterMillis() {
		double drain = (size() + 1) * this.admissionInterval;
		return Math.round(Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, drain)));
	}

	/**
	 * Returns the requests that should get the next slots, without removing them. It
	 * returns several, since the first ones may fit nowhere at present, because they are
	 * large or must avoid some runners, and must not block those behind them.
	 * @param now present time in milliseconds
	 * @param limit largest number of requests to return
	 * @return the requests, next one first
	 */
	public List<T> peek(long now, int limit) {
		while (!this.onTime.isEmpty() && now >= this.onTime.first().limits.onTimeUntil()) {
			this.late.add(this.onTime.pollFirst());
		}
		return Stream.concat(this.onTime.stream(), this.late.stream())
			.limit(limit)
			.map((waiting) -> waiting.item)
			.toList();
	}

	/**
	 * Removes a request that got a slot or whose caller has disconnected.
	 * @param item request to remove
	 * @return whether it was in the queue
	 */
	public boolean remove(T item) {
		return this.onTime.removeIf((waiting) -> waiting.item == item)
				|| this.late.removeIf((waiting) -> waiting.item == item);
	}

	/**
	 * Records that a waiting request got a slot. The interval between these calls is the
	 * basis of the expected wait.
	 * @param now present time in milliseconds
	 */
	public void recordAdmission(long now) {
		if (this.lastAdmission >= 0) {
			this.admissionInterval += SMOOTHING * (Math.min(now - this.lastAdmission, 1000) - this.admissionInterval);
		}
		this.lastAdmission = now;
	}

	/**
	 * Removes the requests that have waited as long as they may, and the late ones that
	 * will not be served in time because requests that can be on time go first.
	 * @param now present time in milliseconds
	 * @return the removed requests, which the caller has to reject
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
	 * Returns the length of the queue.
	 * @return number of waiting requests, including late ones
	 */
	public int size() {
		return this.onTime.size() + this.late.size();
	}

	/**
	 * Limits of the wait of a request, on the clock of the queue.
	 *
	 * @param onTimeUntil time in milliseconds before which a slot leads to an answer
	 * within the target latency
	 * @param rejectAt time in milliseconds at which the request is rejected
	 */
	public record WaitLimits(long onTimeUntil, long rejectAt) {

	}

	private record Waiting<T>(T item, int priority, long arrived, long sequence, WaitLimits limits) {

	}

}
