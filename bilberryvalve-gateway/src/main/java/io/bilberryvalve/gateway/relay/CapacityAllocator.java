package io.bilberryvalve.gateway.relay;

import java.util.Optional;
import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RequestSize;

/**
 * Finds free places at the runners of a service.
 */
interface CapacityAllocator {

	/**
	 * Reserves a place.
	 * @param size size of the request
	 * @param excluded runners that must not be used
	 * @return the place, or empty if there is none now
	 */
	Optional<Reservation> reserve(RequestSize size, Set<RunnerId> excluded);

	/**
	 * Reserves a place elsewhere for a stream that is in progress.
	 * @param size size of the request
	 * @param avoided runners of which none may be used, unlike excluded ones, which are
	 * better than no place
	 * @return the place, or empty if the stream had better stay
	 */
	Optional<Reservation> reserveElsewhere(RequestSize size, Set<RunnerId> avoided);

	/**
	 * Returns how long the runners of a place need to read the prompts that were sent to
	 * them.
	 * @param seat the place
	 * @return milliseconds at the runner that needs longest
	 */
	long prefillBacklogMillis(Reservation seat);

	/**
	 * Tells whether a part of the capacity is lost for some seconds, until its layers are
	 * loaded elsewhere.
	 * @return whether more places come back soon
	 */
	boolean recovering();

	/**
	 * Tells whether any runner could serve a request once it is free.
	 * @return whether waiting makes sense
	 */
	boolean canServe();

}
