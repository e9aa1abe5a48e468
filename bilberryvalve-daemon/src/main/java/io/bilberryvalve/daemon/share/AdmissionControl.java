package io.bilberryvalve.daemon.share;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.TeamId;

/**
 * Decides when a request may start. Implementations are safe for use by several threads.
 */
public interface AdmissionControl {

	/**
	 * Requests admission.
	 * @param request club, team, cost and deadline of the request
	 * @return completes with a permit when the request may start, or with a problem whose
	 * outcome is {@code not-run} if the request cannot start before its deadline or the
	 * wait queue is full; if it is cancelled, the request leaves the wait queue
	 */
	CompletionStage<Result<Permit>> admit(AdmissionRequest request);

	/**
	 * A request for admission.
	 *
	 * @param club club of the caller
	 * @param team team of the caller
	 * @param cost declared cost in tokens: prompt tokens plus expected output tokens
	 * @param priority priority from -10 (low) to 10 (high), 0 by default
	 * @param timeout time left until the deadline
	 */
	record AdmissionRequest(ClubId club, TeamId team, int cost, int priority, Duration timeout) {

	}

	/**
	 * Permission to run one request. The holder must release it when the request ends.
	 */
	interface Permit {

		/**
		 * Releases the permit at the end of the request. Calls after the first have no
		 * effect.
		 * @param actualCost tokens consumed: prompt plus output; 0 if the request did not
		 * run
		 */
		void release(int actualCost);

	}

}
