package io.bilberryvalve.gateway.relay;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.relay.ReservationRequest.Cause;
import io.bilberryvalve.gateway.relay.ReservationRequest.Rejection;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.queue.Refusal;
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
	 * Largest number of waiting requests that one dispatch tries. Few of them search for
	 * a path, see {@link SlotSearches}.
	 */
	private static final int MAX_DISPATCH_CANDIDATES = 64;

	private volatile CapacityAllocator allocator;

	private final LoadTracker loadTracker;

	private final Clock clock;

	private final WaitQueue<ReservationRequest> waitQueue = new WaitQueue<>();

	/**
	 * Requests for backup attempts, which may fit nowhere while the silent runners still
	 * have free slots for others. They avoid different runners, so that none of them
	 * keeps the others waiting. Guarded by the lock of {@link #waitQueue}.
	 */
	private final WaitQueue<ReservationRequest> backupQueue = new WaitQueue<>(false);

	private final SlotSearches searches = new SlotSearches();

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
		synchronized (this.waitQueue) {
			this.allocator = next;
			this.searches.forget();
		}
	}

	/**
	 * Submits a request. Its receiver is called exactly once, during this call or later,
	 * unless the request is cancelled.
	 * @param request the request
	 */
	void submit(ReservationRequest request) {
		List<Runnable> outcomes = new ArrayList<>();
		synchronized (this.waitQueue) {
			submit(request, this.clock.millis(), outcomes);
		}
		outcomes.forEach(Runnable::run);
	}

	private void submit(ReservationRequest request, long now, List<Runnable> outcomes) {
		WaitQueue<ReservationRequest> target = queueOf(request);
		this.searches.start(now);
		if (target.size() == 0 && grant(request, outcomes)) {
			return;
		}
		if (missesCapacity(request, now)) {
			rejectWithoutRunner(request, capacityRetryMillis(now), now, outcomes);
			return;
		}
		Optional<Refusal> refusal = target.offer(request, request.demand(), now);
		if (refusal.isEmpty()) {
			dispatchAll(now, outcomes);
		}
		else if (this.searches.isKnownToFail(request)) {
			reject(request, Cause.EXPECTED_WAIT, refusal.get(), now, outcomes);
		}
		else {
			submitRefused(request, target, now, outcomes);
		}
	}

	// No request is rejected while slots are free for it, as when those ahead of it are
	// too large for these slots.
	private void submitRefused(ReservationRequest request, WaitQueue<ReservationRequest> target, long now,
			List<Runnable> outcomes) {
		dispatchAll(now, outcomes);
		this.searches.start(now);
		if (!target.isReservedBefore(request.demand()) && grant(request, outcomes)) {
			target.charge(request.demand(), now);
			return;
		}
		target.offer(request, request.demand(), now)
			.ifPresent((refusal) -> reject(request, Cause.EXPECTED_WAIT, refusal, now, outcomes));
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
		WaitQueue.WaitLimits limits = request.demand().limits();
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

	// Returns whether slots were reserved. Their receiver is called outside the lock.
	private boolean grant(ReservationRequest request, List<Runnable> outcomes) {
		Optional<Reservation> reservation = this.searches.reserve(request, this.allocator);
		reservation.ifPresent((reserved) -> outcomes.add(() -> request.receiver().granted(reserved)));
		return reservation.isPresent();
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
			return queueOf(request).remove(request, this.clock.millis());
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
			this.searches.forget();
			dispatchAll(this.clock.millis(), outcomes);
		}
		outcomes.forEach(Runnable::run);
	}

	private void dispatchAll(long now, List<Runnable> outcomes) {
		dispatch(this.backupQueue, now, outcomes);
		dispatch(this.waitQueue, now, outcomes);
	}

	private void dispatch(WaitQueue<ReservationRequest> queue, long now, List<Runnable> outcomes) {
		if (queue.size() == 0) {
			return;
		}
		for (ReservationRequest request : queue.expire(now)) {
			reject(request, Cause.WAIT_LIMIT, queue.refusal(request.demand(), now), now, outcomes);
		}
		long available = availableAt(now);
		if (available > now && available != CapacityAllocator.NEVER) {
			for (ReservationRequest request : queue.expireUntil(available, now)) {
				rejectWithoutRunner(request, available - now, now, outcomes);
			}
		}
		this.searches.start(now);
		queue.dispatch(now, MAX_DISPATCH_CANDIDATES, (request) -> grant(request, outcomes));
	}

	private void reject(ReservationRequest request, Cause cause, Refusal refusal, long now, List<Runnable> outcomes) {
		long retryMillis = this.retryAfter.draw(refusal, recovering(now));
		outcomes.add(() -> request.receiver().rejected(new Rejection(cause, retryMillis, refusal)));
	}

	private void rejectWithoutRunner(ReservationRequest request, long availableMillis, long now,
			List<Runnable> outcomes) {
		long retryMillis = this.retryAfter.draw(availableMillis, recovering(now));
		outcomes.add(() -> request.receiver().rejected(new Rejection(Cause.NO_RUNNER, retryMillis, null)));
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

	long waitingCost() {
		synchronized (this.waitQueue) {
			return this.waitQueue.cost() + this.backupQueue.cost();
		}
	}

	double admittedCostPerSecond() {
		synchronized (this.waitQueue) {
			return this.waitQueue.costPerSecond();
		}
	}

	int reservedCount() {
		synchronized (this.waitQueue) {
			return this.waitQueue.reservedCount();
		}
	}

}
