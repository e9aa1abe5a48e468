package io.bilberryvalve.daemon.share;

import io.bilberryvalve.policy.share.Capacity;

/**
 * Tells what the runners of the federation can take. All entries should report the same
 * value; it is read at each exchange of demand.
 */
@FunctionalInterface
public interface CapacitySource {

	/**
	 * Returns the capacity of all runners that accept work. It must not block.
	 * @return the capacity
	 */
	Capacity capacity();

}
