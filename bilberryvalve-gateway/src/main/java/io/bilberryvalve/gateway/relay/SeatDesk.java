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
 * Hands out the places of one service. Requests that find none wait in a line. Safe for
 * use by several threads; receivers are called outside the lock.
 */
final class SeatDesk {

	/**
	 * Without any runner that could serve, callers come back when one may have started.
	 */
	private static final long UNSERVED_RETRY_MILLIS = 1000;

	/** Capacity comes and goes within seconds, and many are rejected in each. */
	private static final long REPAIR_CHECK_MILLIS = 200;

	/** Waiting requests that are tried in turn; each costs a search for a path. */
	private static final int LOOK_AHEAD = 6;

	private final SeatPool pool;

	private final LoadTracker loads;

	private final Clock clock;

	private final WaitQueue<SeatRequest> line = new WaitQueue<>();

	private final RetryAfter returns = new RetryAfter(new SplittableRandom());

	private boolean repairing;

	private long checkedAt = -REPAIR_CHECK_MILLIS;

	SeatDesk(SeatPool pool, LoadTracker loads, Clock clock) {
		this.pool = pool;
		this.loads = loads;
		this.clock = clock;
	}

	/**
	 * Asks for a place. The receiver is called now or later, once.
	 * @param request the request
	 */
	void ask(SeatRequest request) {
		Optional<Seat> seat;
		long retry = 0;
		synchronized (this.line) {
			seat = (this.line.size() == 0) ? this.pool.take(request.size(), request.excluded()) : Optional.empty();
			if (seat.isEmpty()) {
				long now = this.clock.millis();
				retry = this.pool.served() ? this.line.offer(request, request.priority(), now, request.patience())
						: UNSERVED_RETRY_MILLIS;
				retry = (retry > 0) ? this.returns.draw(retry, repairing(now)) : 0;
			}
		}
		if (seat.isPresent()) {
			request.receiver().seated(seat.get());
		}
		else if (retry > 0) {
			request.receiver().rejected(retry);
		}
		else {
			pump();
		}
	}

	/**
	 * Reserves a place elsewhere for a stream that is in progress. It goes before the
	 * requests that wait.
	 * @param size size of the request
	 * @param avoided runners of which none may be used
	 * @return the place, or empty if there is none now
	 */
	Optional<Seat> takeElsewhere(RequestSize size, Set<RunnerId> avoided) {
		synchronized (this.line) {
			return this.pool.takeElsewhere(size, avoided);
		}
	}

	/**
	 * Returns how long the runners of a place need to read the prompts that were sent to
	 * them.
	 * @param seat the place
	 * @return milliseconds
	 */
	long backlogMillis(Seat seat) {
		return this.pool.backlogMillis(seat);
	}

	/**
	 * Withdraws a request, because its caller has left.
	 * @param request the request
	 * @return whether it still waited; otherwise the receiver was or will be called
	 */
	boolean withdraw(SeatRequest request) {
		synchronized (this.line) {
			return this.line.remove(request);
		}
	}

	/**
	 * Gives a place back.
	 * @param seat the place
	 * @param read whether the runners had read the prompt
	 */
	void release(Seat seat, boolean read) {
		this.loads.remove(seat.parts(), seat.size(), read);
		pump();
	}

	/**
	 * Gives free places to waiting requests and rejects those that waited too long. Call
	 * it also when the load or the fleet may have changed.
	 */
	void pump() {
		List<Runnable> outcomes = new ArrayList<>();
		synchronized (this.line) {
			long now = this.clock.millis();
			for (SeatRequest request : this.line.expire(now)) {
				long retry = this.returns.draw(this.line.retryAfterMillis(), repairing(now));
				outcomes.add(() -> request.receiver().rejected(retry));
			}
			for (SeatRequest request : this.line.peek(now, LOOK_AHEAD)) {
				Optional<Seat> seat = this.pool.take(request.size(), request.excluded());
				if (seat.isPresent()) {
					this.line.remove(request);
					this.line.recordAdmission(now);
					outcomes.add(() -> request.receiver().seated(seat.get()));
				}
			}
		}
		outcomes.forEach(Runnable::run);
	}

	private boolean repairing(long now) {
		if (now - this.checkedAt >= REPAIR_CHECK_MILLIS) {
			this.checkedAt = now;
			this.repairing = this.pool.repairing();
		}
		return this.repairing;
	}

	int waiting() {
		synchronized (this.line) {
			return this.line.size();
		}
	}

}
