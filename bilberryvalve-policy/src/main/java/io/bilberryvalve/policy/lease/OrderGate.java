package io.bilberryvalve.policy.lease;

import java.time.Instant;
import java.util.Optional;

/**
 * Decides whether a daemon may send an order to an engine now. Immutable.
 */
public final class OrderGate {

	private final LeaseTimes times;

	/**
	 * Creates a gate.
	 * @param times duration of the lease and timeout of orders
	 */
	public OrderGate(LeaseTimes times) {
		this.times = times;
	}

	/**
	 * Decides about an order.
	 * @param grant grant of this daemon at that time, or empty if it does not hold the
	 * lease
	 * @param checksFencing whether the engine refuses orders with an old fencing number
	 * @param now current time on the clock of the grant
	 * @return whether the lease is valid and, for an engine that ignores fencing numbers,
	 * all orders of earlier holders have been executed or have timed out
	 */
	public boolean maySend(Optional<LeaseCandidate.Grant> grant, boolean checksFencing, Instant now) {
		if (grant.isEmpty() || !now.isBefore(grant.get().validUntil())) {
			return false;
		}
		boolean first = grant.get().fencing().value() == 1;
		return checksFencing || first || !now.isBefore(earlierOrdersEnd(grant.get()));
	}

	private Instant earlierOrdersEnd(LeaseCandidate.Grant grant) {
		return grant.learnedAt().plus(this.times.duration()).plus(this.times.orderTimeout());
	}

}
