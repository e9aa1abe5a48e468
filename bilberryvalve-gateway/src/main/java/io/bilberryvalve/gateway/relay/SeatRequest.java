package io.bilberryvalve.gateway.relay;

import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.queue.WaitQueue;

/**
 * A request that needs a place.
 *
 * @param size its size
 * @param priority rank, 0 first
 * @param excluded runners that must not be used
 * @param patience how long it may wait
 * @param receiver receives the place or the rejection
 */
record SeatRequest(RequestSize size, int priority, Set<RunnerId> excluded, WaitQueue.WaitLimits patience,
		Receiver receiver) {

	/**
	 * Receives the outcome, possibly on another thread.
	 */
	interface Receiver {

		/**
		 * A place is reserved.
		 * @param seat the place
		 */
		void seated(Seat seat);

		/**
		 * There is no place in time.
		 * @param retryMillis when the caller may come back
		 */
		void rejected(long retryMillis);

	}

}
