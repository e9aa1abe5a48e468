package io.bilberryvalve.gateway.relay;

import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.queue.WaitQueue;
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
	 * @param priority rank in the queue; a lower number is served first
	 * @param excluded runners to avoid
	 * @param elsewhereOnly whether the excluded runners must not be used in any case
	 * @param limits times until which it may wait
	 */
	void submit(RequestSize size, int priority, Set<RunnerId> excluded, boolean elsewhereOnly,
			WaitQueue.WaitLimits limits) {
		ReservationRequest request = new ReservationRequest(size, priority, excluded, elsewhereOnly, limits, this);
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
	public void rejected(long retryMillis) {
		if (!this.loop.inEventLoop()) {
			this.loop.execute(() -> rejected(retryMillis));
		}
		else if (this.receiver.accepts(this)) {
			this.receiver.rejected(retryMillis);
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
		 * @param retryMillis time in milliseconds after which the caller should retry
		 */
		void rejected(long retryMillis);

	}

}
