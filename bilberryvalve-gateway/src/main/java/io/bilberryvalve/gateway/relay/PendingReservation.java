package io.bilberryvalve.gateway.relay;

import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.queue.RequestDemand;
import io.netty.channel.EventLoop;
import org.jspecify.annotations.Nullable;

/**
 * A reservation that a request waits for. Its outcome is passed on the event loop of the
 * request, or dropped if the request no longer waits for it; slots that nobody takes are
 * released.
 */
final class PendingReservation implements ReservationRequest.Receiver {

	private final EventLoop loop;

	private final ReservationQueue queue;

	private final Receiver receiver;

	private @Nullable ReservationRequest submitted;

	PendingReservation(EventLoop loop, ReservationQueue queue, Receiver receiver) {
		this.loop = loop;
		this.queue = queue;
		this.receiver = receiver;
	}

	/**
	 * Submits the request for slots, whose outcome may arrive during this call.
	 * @param size expected number of tokens
	 * @param demand class, team, cost and wait limits
	 * @param excluded runners to avoid
	 * @param elsewhereOnly whether the excluded runners must not be used in any case
	 */
	void submit(RequestSize size, RequestDemand demand, Set<RunnerId> excluded, boolean elsewhereOnly) {
		ReservationRequest request = new ReservationRequest(size, demand, excluded, elsewhereOnly, this);
		this.submitted = request;
		this.queue.submit(request);
	}

	/** Stops waiting. */
	void cancel() {
		ReservationRequest request = this.submitted;
		if (request != null) {
			this.queue.cancel(request);
		}
	}

	@Override
	public void granted(Reservation reserved) {
		if (!this.loop.inEventLoop()) {
			this.loop.execute(() -> granted(reserved));
		}
		else if (this.receiver.accepts(this)) {
			this.receiver.granted(reserved);
		}
		else {
			this.queue.release(reserved, false);
		}
	}

	@Override
	public void rejected(ReservationRequest.Rejection rejection) {
		if (!this.loop.inEventLoop()) {
			this.loop.execute(() -> rejected(rejection));
		}
		else if (this.receiver.accepts(this)) {
			this.receiver.rejected(rejection);
		}
	}

	/** Receives the outcome on the event loop of the request. */
	interface Receiver {

		/**
		 * Returns whether the request still waits for a reservation, and ends the wait.
		 * @param reservation the reservation with an outcome
		 * @return whether one of the other methods is to be called
		 */
		boolean accepts(PendingReservation reservation);

		/**
		 * Slots are reserved. The receiver must release them.
		 * @param reserved the reserved slots
		 */
		void granted(Reservation reserved);

		/**
		 * No slots will be free in time.
		 * @param rejection why, and when the caller should retry
		 */
		void rejected(ReservationRequest.Rejection rejection);

	}

}
