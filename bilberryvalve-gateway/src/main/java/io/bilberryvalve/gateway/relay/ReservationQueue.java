package io.bilberryvalve.gateway.relay;

import java.time.Clock;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;

import io.bilberryvalve.gateway.fleet.LoadBook;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.line.ReturnTime;
import io.bilberryvalve.policy.line.WaitingLine;
import io.bilberryvalve.policy.path.RequestSize;

/**
 * Hands out the places of one service. Requests that find none wait in a line. Safe for
 * use by several threads; receivers are called outside the lock.
 */
final class ReservationQueue {

	/**
	 * Without any runner that could serve, callers come back when one may have started.
	 */
	private static final long NO_RUNNER_RETRY_MILLIS = 1000;

	/** Capacity comes and goes within seconds, and many are rejected in each. */
	private static final long RECOVERY_CHECK_INTERVAL_MILLIS = 200;

	/** Waiting requests that are tried in turn; each costs a search for a path. */
	private static final int LOOK_AHEAD = 6;

	private final CapacityAllocator allocator;

	private final LoadBook loadTracker;

	private final Clock clock;

	private final WaitingLine<ReservationRequest> waitQueue = new WaitingLine<>();

	private final ReturnTime retryAfter = new ReturnTime(new SplittableRandom());

	private boolean recovering;

	private long recoveryCheckedAt = -RECOVERY_CHECK_INTERVAL_MILLIS;

	ReservationQueue(CapacityAllocator pool, LoadBook loads, Clock clock) {
		this.allocator = pool;
		this.loadTracker = loads;
		this.clock = clock;
	}

	/**
	 * Asks for a place. The receiver is called now or later, once.
	 * @param request the request
	 */
	void submit(ReservationRequest request) {
		Optional<Reservation> seat;
		long retry = 0;
		synchronized (this.waitQueue) {
			seat = (this.waitQueue.size() == 0) ? this.allocator.reserve(request.size(), request.excluded())
					: Optional.empty();
			if (seat.isEmpty()) {
				long now = this.clock.millis();
				retry = this.allocator.canServe()
						? this.waitQueue.offer(request, request.priority(), now, request.waitLimits())
						: NO_RUNNER_RETRY_MILLIS;
				retry = (retry > 0) ? this.retryAfter.millis(retry, recovering(now)) : 0;
			}
		}
		if (seat.isPresent()) {
			request.receiver().granted(seat.get());
		}
		else if (retry > 0) {
			request.receiver().rejected(retry);
		}
		else {
			dispatchWaiting();
		}
	}

	/**
	 * Reserves a place elsewhere for a stream that is in progress. It goes before the
	 * requests that wait.
	 * @param size size of the request
	 * @param avoided runners of which none may be used
	 * @return the place, or empty if there is none now
	 */
	Optional<Reservation> reserveElsewhere(RequestSize size, Set<RunnerId> avoided) {
		synchronized (this.waitQueue) {
			return this.allocator.reserveElsewhere(size, avoided);
		}
	}

	/**
	 * Returns how long the runners of a place need to read the prompts that were sent to
	 * them.
	 * @param seat the place
	 * @return milliseconds
	 */
	long prefillBacklogMillis(Reservation seat) {
		return this.allocator.prefillBacklogMillis(seat);
	}

	/**
	 * Withdraws a request, because its caller has left.
	 * @param request the request
	 * @return whether it still waited; otherwise the receiver was or will be called
	 */
	boolean cancel(ReservationRequest request) {
		synchronized (this.waitQueue) {
			return this.waitQueue.remove(request);
		}
	}

	/**
	 * Gives a place back.
	 * @param seat the place
	 * @param read whether the runners had read the prompt
	 */
	void release(Reservation seat, boolean read) {
		this.loadTracker.remove(seat.resources(), seat.size(), read);
		dispatchWaiting();
	}

	/**
	 * Gives free places to waiting requests and rejects those that waited too long. Call
	 * it also when the load or the fleet may have changed.
	 */
	void dispatchWaiting() {
		List<Runnable> outcomes = new ArrayList<>();
		synchronized (this.waitQueue) {
			long now = this.clock.millis();
			for (ReservationRequest request : this.waitQueue.expire(now)) {
				long retry = this.retryAfter.millis(this.waitQueue.retryMillis(), recovering(now));
				outcomes.add(() -> request.receiver().rejected(retry));
			}
			for (ReservationRequest request : this.waitQueue.next(now, LOOK_AHEAD)) {
				Optional<Reservation> seat = this.allocator.reserve(request.size(), request.excluded());
				if (seat.isPresent()) {
					this.waitQueue.remove(request);
					this.waitQueue.placed(now);
					outcomes.add(() -> request.receiver().granted(seat.get()));
				}
			}
		}
		outcomes.forEach(Runnable::run);
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
			return this.waitQueue.size();
		}
	}

}
