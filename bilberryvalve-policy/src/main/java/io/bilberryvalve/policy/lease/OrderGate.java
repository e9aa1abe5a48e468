package io.bilberryvalve.policy.lease;

import java.time.Instant;
import java.util.Optional;

/**
 * Decides whether an order may be sent now.
 */
public final class OrderGate {

	private final LeaseTimes times;

	/**
	 * Creates a gate.
	 * @param times times of the lease
	 */
	public OrderGate(LeaseTimes times) {
		this.times = times;
	}

	/**
	 * Decides about an order.
	 * @param grant the grant of this daemon, read at the same time
	 * @param checksFencing whether the engine refuses an old fencing number
	 * @param now the time
	 * @return whether the order may be sent: the lease is valid and, for an engine that
	 * ignores fencing numbers, each order of an earlier holder has ended
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
