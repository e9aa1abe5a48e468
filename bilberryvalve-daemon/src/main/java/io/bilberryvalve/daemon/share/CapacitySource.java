package io.bilberryvalve.daemon.share;

import io.bilberryvalve.policy.share.Capacity;

/**
 * Provides the total capacity of the federation's runners. It is read each time the
 * entries exchange their demand. All entries should see the same value, because each one
 * computes its share from it.
 */
@FunctionalInterface
public interface CapacitySource {

	/**
	 * Returns the capacity of all runners that accept work. Must not block.
	 * @return streams and tokens per second over all runners
	 */
	Capacity capacity();

}
