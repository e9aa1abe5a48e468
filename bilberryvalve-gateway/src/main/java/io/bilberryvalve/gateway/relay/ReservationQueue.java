package io.bilberryvalve.gateway.relay;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.queue.RetryAfter;
import io.bilberryvalve.policy.queue.WaitQueue;

/**
 * Grants {@linkplain Reservation reservations} at the runners of one service, and queues
 * the requests for which no slot is free. Safe for use by several threads; receivers are
 * called outside the lock.
 */
final class ReservationQueue {

	/**
	 * Retry delay when no runner could serve the request; by then one may have started.
	 */
	private static final long NO_RUNNER_RETRY_MILLIS = 1000;

	/**
	 * Interval at which lost capacity is looked for. It changes within seconds, while
	 * many requests may be rejected each second, so that the result is cached.
	 */
	private static final long RECOVERY_CHECK_INTERVAL_MILLIS = 200;

	/**
	 * Interval at which it is checked whether any runners can serve requests. The search
	 * is needed only when no slot is free, at which many requests may arrive.
	 */
	private static final long CAPACITY_CHECK_INTERVAL_MILLIS = 50;

	/**
	 * Largest number of waiting requests that one dispatch tries; each try searches for a
	 * path.
	 */
	private static final int MAX_DISPATCH_CANDIDATES = 6;

	private volatile CapacityAllocator allocator;

	private final LoadTracker loadTracker;

	private final Clock clock;

	private final WaitQueue<ReservationRequest> waitQueue = new WaitQueue<>();

	/**
	 * Requests for backup attempts, which may fit nowhere while the silent runners still
	 * have free slots for others. Guarded by the lock of {@link #waitQueue}.
	 */
	private final WaitQueue<ReservationRequest> backupQueue = new WaitQueue<>();

	private final RetryAfter retryAfter = new RetryAfter(new SplittableRandom());

	private long availableAt;

	private long capacityCheckedAt = -CAPACITY_CHECK_INTERVAL_MILLIS;

	private boolean recovering;

	private long recoveryCheckedAt = -RECOVERY_CHECK_INTERVAL_MILLIS;

	ReservationQueue(CapacityAllocator allocator, LoadTracker loadTracker, Clock clock) {
		this.allocator = allocator;
		this.loadTracker = loadTracker;
		this.clock = clock;
	}

	/**
	 * Replaces the allocator. Requests that wait now get their slots from the new one.
	 * @param next allocator for the same service
	 */
	void setAllocator(CapacityAllocator next) {
		this.allocator = next;
	}

	/**
	 * Submits a request. Its receiver is called exactly once, during this call or later,
	 * unless the request is cancelled.
	 * @param request the request
	 */
	void submit(ReservationRequest request) {
		Optional<Reservation> reservation;
		long retryMillis = 0;
		synchronized (this.waitQueue) {
			WaitQueue<ReservationRequest> target = queueOf(request);
			reservation = (target.size() == 0) ? reserve(request) : Optional.empty();
			if (reservation.isEmpty()) {
				long now = this.clock.millis();
				retryMillis = missesCapacity(request, now) ? capacityRetryMillis(now)
						: target.offer(request, request.priority(), now, request.waitLimits());
				retryMillis = (retryMillis > 0) ? this.retryAfter.draw(retryMillis, recovering(now)) : 0;
			}
		}
		if (reservation.isPresent()) {
			request.receiver().granted(reservation.get());
		}
		else if (retryMillis > 0) {
			request.receiver().rejected(retryMillis);
		}
		else {
			dispatchWaiting();
		}
	}

	/**
	 * Returns when the runners of the service can serve requests if they are free.
	 * @return milliseconds, 0 if there are such runners now
	 */
	long unavailableMillis() {
		synchronized (this.waitQueue) {
			long now = this.clock.millis();
			return (availableAt(now) > now) ? capacityRetryMillis(now) : 0;
		}
	}

	// Returns whether no runner may be used until the request would be late.
	private boolean missesCapacity(ReservationRequest request, long now) {
		WaitQueue.WaitLimits limits = request.waitLimits();
		long available = availableAt(now);
		return available > now && available > Math.min(limits.onTimeUntil(), limits.rejectAt());
	}

	private long capacityRetryMillis(long now) {
		long available = availableAt(now);
		return (available == CapacityAllocator.NEVER) ? NO_RUNNER_RETRY_MILLIS : available - now;
	}

	// Returns the time at which runners can serve a request if they are free.
	private long availableAt(long now) {
		if (now - this.capacityCheckedAt >= CAPACITY_CHECK_INTERVAL_MILLIS) {
			this.capacityCheckedAt = now;
			long unavailable = this.allocator.unavailableMillis();
			this.availableAt = (unavailable == CapacityAllocator.NEVER) ? unavailable : now + unavailable;
		}
		return this.availableAt;
	}

	private WaitQueue<ReservationRequest> queueOf(ReservationRequest request) {
		return request.elsewhereOnly() ? this.backupQueue : this.waitQueue;
	}

	private Optional<Reservation> reserve(ReservationRequest request) {
		return request.elsewhereOnly() ? this.allocator.reserveElsewhere(request.size(), request.excluded())
				: this.allocator.reserve(request.size(), request.excluded());
	}

	/**
	 * Reserves slots on another path, to which a stream in progress can move. The stream
	 * takes precedence over the waiting requests.
	 * @param size expected size of the request
	 * @param avoided runners of which none may be used
	 * @return the reservation, or empty if no other path has free slots
	 */
	Optional<Reservation> reserveElsewhere(RequestSize size, Set<RunnerId> avoided) {
		synchronized (this.waitQueue) {
			return this.allocator.reserveElsewhere(size, avoided);
		}
	}

	/**
	 * Returns the time that the runners of a reservation need to process the prompts that
	 * were sent to them (prefill).
	 * @param reservation the reservation
	 * @return milliseconds, 0 for application runners
	 */
	long prefillBacklogMillis(Reservation reservation) {
		return this.allocator.prefillBacklogMillis(reservation);
	}

	/**
	 * Cancels a waiting request.
	 * @param request the request
	 * @return whether the request was still waiting; otherwise its receiver was or will
	 * be called
	 */
	boolean cancel(ReservationRequest request) {
		synchronized (this.waitQueue) {
			return queueOf(request).remove(request);
		}
	}

	/**
	 * Releases a reservation and dispatches waiting requests.
	 * @param reservation the reservation
	 * @param promptProcessed whether the runners had processed the prompt, so that it no
	 * longer counts as backlog
	 */
	void release(Reservation reservation, boolean promptProcessed) {
		this.loadTracker.remove(reservation.resources(), reservation.size(), promptProcessed);
		dispatchWaiting();
	}

	/**
	 * Rejects the requests that have waited too long, and grants free slots to the next
	 * ones. To be called when slots may have become free, as after a change of the load
	 * or of the fleet.
	 */
	void dispatchWaiting() {
		List<Runnable> outcomes = new ArrayList<>();
		synchronized (this.waitQueue) {
			long now = this.clock.millis();
			dispatch(this.backupQueue, now, outcomes);
			dispatch(this.waitQueue, now, outcomes);
		}
		outcomes.forEach(Runnable::run);
	}

	private void dispatch(WaitQueue<ReservationRequest> queue, long now, List<Runnable> outcomes) {
		for (ReservationRequest request : queue.expire(now)) {
			reject(request, queue.retryAfterMillis(), now, outcomes);
		}
		long available = (queue.size() > 0) ? availableAt(now) : now;
		if (available > now && available != CapacityAllocator.NEVER) {
			for (ReservationRequest request : queue.expire(available)) {
				reject(request, available - now, now, outcomes);
			}
		}
		for (ReservationRequest request : queue.peek(now, MAX_DISPATCH_CANDIDATES)) {
			Optional<Reservation> reservation = reserve(request);
			if (reservation.isPresent()) {
				queue.remove(request);
				queue.recordAdmission(now);
				outcomes.add(() -> request.receiver().granted(reservation.get()));
			}
		}
	}

	private void reject(ReservationRequest request, long expectedMillis, long now, List<Runnable> outcomes) {
		long retryMillis = this.retryAfter.draw(expectedMillis, recovering(now));
		outcomes.add(() -> request.receiver().rejected(retryMillis));
	}

	private boolean recovering(long now) {
		if (now - this.recoveryCheckedAt >= RECOVERY_CHECK_INTERVAL_MILLIS) {
			this.recoveryCheckedAt = now;
			this.recovering = this.allocator.recovering();
		}
		return this.recovering;
	}

	int waitingCount() {
		synchronized (this.waitQueue) {
			return this.waitQueue.size() + this.backupQueue.size();
		}
	}

}
