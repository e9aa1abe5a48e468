package io.bilberryvalve.policy.lease;

/**
 * Number of a lease grant. It increases with each grant to another holder.
 *
 * @param value the number, at least 1
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

	/** Grants of one lease that fit below the next configuration version. */
	private static final int GRANT_BITS = 20;

	/**
	 * Checks the number.
	 * @throws IllegalArgumentException if it is below 1
	 */
	public FencingNumber {
		if (value < 1) {
			throw new IllegalArgumentException("a fencing number is at least 1, not " + value);
		}
	}

	/**
	 * Returns the number of the next grant.
	 * @return the next number
	 */
	public FencingNumber next() {
		return new FencingNumber(this.value + 1);
	}

	/**
	 * Returns the number for an order. A runner that changes its model comes under
	 * another lease with a number sequence of its own, so the configuration version
	 * stands first: an order for a later configuration always has the higher number.
	 * @param configurationVersion version that the order carries out
	 * @return the number for the order
	 */
	public FencingNumber forOrder(long configurationVersion) {
		return new FencingNumber((configurationVersion << GRANT_BITS) + this.value);
	}

	@Override
	public int compareTo(FencingNumber other) {
		return Long.compare(this.value, other.value);
	}

}
