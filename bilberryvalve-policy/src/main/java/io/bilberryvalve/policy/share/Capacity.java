package io.bilberryvalve.policy.share;

/**
 * Capacity of all runners of the federation.
 *
 * @param streams number of streams that may run at the same time
 * @param tokensPerSecond tokens per second of all streams together, or 0 if not known
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
