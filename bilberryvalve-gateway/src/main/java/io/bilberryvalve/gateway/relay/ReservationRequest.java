package io.bilberryvalve.gateway.relay;

import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.queue.Refusal;
import io.bilberryvalve.policy.queue.RequestDemand;
import org.jspecify.annotations.Nullable;

/**
 * A request for a {@link Reservation}, submitted to a {@link ReservationQueue}.
 *
 * @param size expected number of tokens
 * @param demand class, team, cost and wait limits, by which it is queued
 * @param excluded runners to avoid, because earlier attempts failed there
 * @param elsewhereOnly whether the excluded runners must not be used even if no others
 * are free
 * @param receiver receives the reservation or the rejection
 */
record ReservationRequest(RequestSize size, RequestDemand demand, Set<RunnerId> excluded, boolean elsewhereOnly,
		Receiver receiver) {

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
		 * @param rejection why, and when the caller should retry
		 */
		void rejected(Rejection rejection);

	}

	/** Why a request is rejected. */
	enum Cause {

		/** The cost ahead of it takes longer than it may wait. */
		EXPECTED_WAIT("expected-wait"),

		/** It has waited as long as it may, or is late and will not be served in time. */
		WAIT_LIMIT("wait-limit"),

		/** No runner can serve it in time. */
		NO_RUNNER("no-runner");

		private final String label;

		Cause(String label) {
			this.label = label;
		}

		/**
		 * Returns the name of the cause in logs and metrics.
		 * @return lower case with hyphens
		 */
		String label() {
			return this.label;
		}

	}

	/**
	 * A rejection.
	 *
	 * @param cause the cause
	 * @param retryMillis time in milliseconds after which the caller should retry
	 * @param refusal class, cost ahead and rate that decided, or {@code null} if no
	 * runner can serve the request
	 */
	record Rejection(Cause cause, long retryMillis, @Nullable Refusal refusal) {

	}

}
