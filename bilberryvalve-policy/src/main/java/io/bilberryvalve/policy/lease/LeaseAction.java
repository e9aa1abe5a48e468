package io.bilberryvalve.policy.lease;

/**
 * What a {@link LeaseCandidate} wants done. Each action is answered by one event.
 */
public sealed interface LeaseAction {

	/**
	 * Nothing to do.
	 */
	record None() implements LeaseAction {

	}

	/**
	 * Read the lease.
	 */
	record Read() implements LeaseAction {

	}

	/**
	 * Write the lease by compare-and-set.
	 *
	 * @param expectVersion row version that the write must expect, 0 for absent
	 * @param lease the lease
	 */
	record Write(long expectVersion, Lease lease) implements LeaseAction {

	}

}
