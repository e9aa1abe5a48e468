package io.bilberryvalve.daemon.share;

import java.time.Duration;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.TeamId;

/**
 * Decides when a request may start.
 */
public interface AdmissionControl {

	/**
	 * Asks to start a request.
	 * @param request the request
	 * @return completes with a permit when the request may start, or with a problem with
	 * outcome {@code not-run} if it cannot start before its deadline
	 */
	CompletionStage<Result<Permit>> admit(AdmissionRequest request);

	/**
	 * A request that waits for admission.
	 *
	 * @param club club of the caller
	 * @param team team of the caller
	 * @param cost predicted token cost: prompt tokens plus expected output tokens
	 * @param priority priority from -10 (low) to 10 (high), 0 by default
	 * @param timeout time left until the deadline
	 */
	record AdmissionRequest(ClubId club, TeamId team, int cost, int priority, Duration timeout) {

	}

	/**
	 * The right to run a request.
	 */
	interface Permit {

		/**
		 * Ends the request. Calls after the first have no effect.
		 * @param actualCost tokens consumed: prompt plus output
		 */
		void release(int actualCost);

	}

}
