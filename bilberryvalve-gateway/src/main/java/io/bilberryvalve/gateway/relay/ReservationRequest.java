package io.bilberryvalve.gateway.relay;

import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.line.WaitingLine;
import io.bilberryvalve.policy.path.RequestSize;

/**
 * A request that needs a place.
 *
 * @param size its size
 * @param priority rank, 0 first
 * @param excluded runners that must not be used
 * @param waitLimits how long it may wait
 * @param receiver receives the place or the rejection
 */
record ReservationRequest(RequestSize size, int priority, Set<RunnerId> excluded, WaitingLine.Patience waitLimits,
		Receiver receiver) {

	/**
	 * Receives the outcome, possibly on another thread.
	 */
	interface Receiver {

		/**
		 * A place is reserved.
		 * @param seat the place
		 */
		void granted(Reservation seat);

		/**
		 * There is no place in time.
		 * @param retryMillis when the caller may come back
		 */
		void rejected(long retryMillis);

	}

}
