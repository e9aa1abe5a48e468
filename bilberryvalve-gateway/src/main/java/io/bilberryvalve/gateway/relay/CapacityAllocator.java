package io.bilberryvalve.gateway.relay;

import java.util.Optional;
import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;

/**
 * Reserves slots at the runners of one service. A slot is the room for one request at a
 * runner. Called by {@link ReservationQueue}.
 */
interface CapacityAllocator {

	/** Result of {@link #unavailableMillis} if no runner can serve a request. */
	long NEVER = Long.MAX_VALUE;

	/**
	 * Reserves a slot at each runner that the request passes.
	 * @param size size of the request
	 * @param excluded runners to avoid, because earlier attempts of this request failed
	 * there; an implementation may use them if nothing else is free
	 * @return the reservation, or empty if no slots are free now
	 */
	Optional<Reservation> reserve(RequestSize size, Set<RunnerId> excluded);

	/**
	 * Reserves slots on another path, to which a stream in progress can move.
	 * @param size size of the request
	 * @param avoided runners of which none may be used; in contrast, {@link #reserve} may
	 * fall back to the runners that it should exclude
	 * @return the reservation, or empty if the stream should stay on its path
	 */
	Optional<Reservation> reserveElsewhere(RequestSize size, Set<RunnerId> avoided);

	/**
	 * Returns the time that the runners of a reservation need to process the prompts that
	 * were sent to them (prefill).
	 * @param reservation the reservation
	 * @return milliseconds at the runner with the longest backlog
	 */
	long prefillBacklogMillis(Reservation reservation);

	/**
	 * Tells whether capacity is missing for some seconds, because runners are lost and
	 * other runners must load their layers first.
	 * @return whether more slots will be available soon
	 */
	boolean recovering();

	/**
	 * Returns when any runners could serve a request if they were free.
	 * @return time in milliseconds, 0 if there are such runners now, or {@link #NEVER} if
	 * there will be none without a change of the fleet
	 */
	long unavailableMillis();

}
