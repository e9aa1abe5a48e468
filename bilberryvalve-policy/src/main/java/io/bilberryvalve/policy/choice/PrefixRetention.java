package io.bilberryvalve.policy.choice;

import java.time.Duration;

/**
 * Estimates whether a runner still holds a prompt prefix that it reported as cached. A
 * cache that runs out of memory evicts old prefixes first, and the event that tells so
 * arrives late or not at all.
 *
 * @param validity age at which a prefix counts as gone in any case
 */
public record PrefixRetention(Duration validity) {

	/**
	 * Free part of the cache from which on nothing is evicted. Requests that are about to
	 * start need the rest.
	 */
	private static final double AMPLE_FREE_FRACTION = 0.2;

	/**
	 * Validates the age.
	 * @param validity age at which a prefix counts as gone in any case
	 * @throws IllegalArgumentException if it is not positive
	 */
	public PrefixRetention {
		if (validity.isZero() || validity.isNegative()) {
			throw new IllegalArgumentException("the validity of a prefix is positive, not " + validity);
		}
	}

	/**
	 * Returns the probability that a prefix is still held. It falls linearly with the
	 * age, and the faster the less memory is free.
	 * @param age time since the runner reported the prefix
	 * @param freeFraction free part of its cache, 0 to 1
	 * @return probability, 0 for a full cache
	 */
	public double heldProbability(Duration age, double freeFraction) {
		double room = Math.max(0, Math.min(1, freeFraction / AMPLE_FREE_FRACTION));
		double life = this.validity.toMillis() * room;
		return (life > 0) ? Math.max(0, 1 - Math.max(0, age.toMillis()) / life) : 0;
	}

}
