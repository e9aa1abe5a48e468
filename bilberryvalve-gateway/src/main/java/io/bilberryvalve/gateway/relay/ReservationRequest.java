package io.bilberryvalve.gateway.relay;

import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.queue.WaitQueue;

/**
 * A request for a {@link Reservation}, submitted to a {@link ReservationQueue}.
 *
 * @param size expected number of tokens
 * @param priority rank in the queue; a lower number is served first
 * @param excluded runners to avoid, because earlier attempts failed there
 * @param elsewhereOnly whether the excluded runners must not be used even if no others
 * are free
 * @param waitLimits times until which it may wait
 * @param receiver receives the reservation or the rejection
 */
record ReservationRequest(RequestSize size, int priority, Set<RunnerId> excluded, boolean elsewhereOnly,
		WaitQueue.WaitLimits waitLimits, Receiver receiver) {

	/**
	 * Receives the outcome, possibly on a different thread than the one that submitted
	 * the request.
	 */
	interface Receiver {

		/**
		 * Slots are reserved. The receiver must release them.
		 * @param reservation the reserved slots
		 */
		void granted(Reservation reservation);

		/**
		 * No slots will be free within the wait limits, or no runner can serve the
		 * request.
		 * @param retryMillis time in milliseconds after which the caller should retry
		 */
		void rejected(long retryMillis);

	}

}
