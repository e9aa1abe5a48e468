package io.bilberryvalve.policy.share;

/**
 * What the runners of the federation can take.
 *
 * @param streams streams at the same time
 * @param tokensPerSecond tokens per second over all streams, or 0 if not known
 */
public record Capacity(int streams, double tokensPerSecond) {

	/**
	 * Checks the capacity.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public Capacity {
		if (streams < 0 || !(tokensPerSecond >= 0)) {
			throw new IllegalArgumentException("capacity must not be negative; report 0 if there are no runners");
		}
	}

}
