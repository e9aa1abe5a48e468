package io.bilberryvalve.daemon.http;

import io.bilberryvalve.model.CallerId;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.OperatorId;
import io.bilberryvalve.model.TeamId;

/**
 * Who sent a request.
 */
public sealed interface Principal {

	/**
	 * Returns the club of the sender.
	 * @return the club
	 */
	ClubId club();

	/**
	 * A caller.
	 *
	 * @param club its club
	 * @param team its team
	 * @param caller the caller
	 */
	record Caller(ClubId club, TeamId team, CallerId caller) implements Principal {

	}

	/**
	 * An operator.
	 *
	 * @param club its club
	 * @param operator the operator
	 */
	record Operator(ClubId club, OperatorId operator) implements Principal {

	}

}
