package io.bilberryvalve.policy.lease;

/**
 * Action that a {@link LeaseCandidate} requests. The result of each read and write is
 * reported to it by one method call.
 */
public sealed interface LeaseAction {

	/**
	 * Nothing to do.
	 */
	record None() implements LeaseAction {

	}

	/**
	 * Read the row of the lease.
	 */
	record Read() implements LeaseAction {

	}

	/**
	 * Write the lease by compare-and-set.
	 *
	 * @param expectVersion version that the row must have, or 0 if it must not exist
	 * @param lease new content of the row
	 */
	record Write(long expectVersion, Lease lease) implements LeaseAction {

	}

}
