package io.bilberryvalve.daemon.http;

import io.bilberryvalve.model.CallerId;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.OperatorId;
import io.bilberryvalve.model.TeamId;

/**
 * Authenticated sender of a request.
 */
public sealed interface Principal {

	/**
	 * Returns the club that the sender belongs to.
	 * @return the club
	 */
	ClubId club();

	/**
	 * A caller, which may use routes with access {@link Access#CALLER}.
	 *
	 * @param club club of the caller
	 * @param team team of the caller
	 * @param caller identifier within the club
	 */
	record Caller(ClubId club, TeamId team, CallerId caller) implements Principal {

	}

	/**
	 * An operator, who may use routes with access {@link Access#OPERATOR}.
	 *
	 * @param club club of the operator
	 * @param operator identifier within the club
	 */
	record Operator(ClubId club, OperatorId operator) implements Principal {

	}

}
