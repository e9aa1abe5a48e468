package io.bilberryvalve.gateway.relay;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.bilberryvalve.model.RunnerId;

/**
 * Limits how often free slots are searched for, since each search visits the runners. A
 * request does not fit if a smaller one that avoids the same runners did not fit a moment
 * ago. Used under the lock of the {@link ReservationQueue}.
 */
final class SlotSearches {

	/**
	 * Time in milliseconds for which a failed search is valid. It is short against the
	 * age of load reports; slots that this daemon frees itself end it at once.
	 */
	private static final long VALIDITY_MILLIS = 5;

	/** Largest number of failed searches in one dispatch. */
	private static final int MAX_FAILED = 6;

	/** Smallest number of tokens that did not fit. */
	private final Map<Group, Integer> failed = new HashMap<>();

	private long failedSince;

	private int failures;

	/**
	 * Starts a dispatch.
	 * @param now present time in milliseconds
	 */
	void start(long now) {
		this.failures = 0;
		if (now - this.failedSince >= VALIDITY_MILLIS) {
			forget();
			this.failedSince = now;
		}
	}

	/** Forgets the failed searches, since slots may have become free. */
	void forget() {
		this.failed.clear();
	}

	/**
	 * Tells whether a search for a request would fail.
	 * @param request the request
	 * @return whether it fits nowhere, because a smaller one did not fit
	 */
	boolean isKnownToFail(ReservationRequest request) {
		Integer tokens = this.failed.get(Group.of(request));
		return tokens != null && request.size().totalTokens() >= tokens;
	}

	/**
	 * Reserves slots for a request, unless a search would fail or too many have failed.
	 * @param request the request
	 * @param allocator searches for slots
	 * @return the reservation, or empty if there is none
	 */
	Optional<Reservation> reserve(ReservationRequest request, CapacityAllocator allocator) {
		if (this.failures >= MAX_FAILED || isKnownToFail(request)) {
			return Optional.empty();
		}
		Optional<Reservation> reservation = request.elsewhereOnly()
				? allocator.reserveElsewhere(request.size(), request.excluded())
				: allocator.reserve(request.size(), request.excluded());
		if (reservation.isEmpty()) {
			this.failures++;
			this.failed.merge(Group.of(request), request.size().totalTokens(), Math::min);
		}
		return reservation;
	}

	/**
	 * Requests that can use the same runners.
	 *
	 * @param excluded runners to avoid
	 * @param elsewhereOnly whether these must not be used in any case
	 */
	private record Group(Set<RunnerId> excluded, boolean elsewhereOnly) {

		static Group of(ReservationRequest request) {
			return new Group(request.excluded(), request.elsewhereOnly());
		}

	}

}
