package io.bilberryvalve.policy.lease;

/**
 * Fencing number (often called fencing token) of a lease grant. It increases with each
 * grant to another holder, so that an engine can refuse orders of an earlier holder.
 *
 * @param value the number, at least 1
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

	/**
	 * Bits of an order number that hold the number of the grant; the bits above hold the
	 * configuration version.
	 */
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
	 * Returns the number of the next grant to another holder.
	 * @return number that is higher by 1
	 */
	public FencingNumber next() {
		return new FencingNumber(this.value + 1);
	}

	/**
	 * Returns the fencing number to send with an order. A runner that changes its model
	 * is covered by another lease, whose grants are numbered independently. The
	 * configuration version therefore takes the upper bits: an order for a later
	 * configuration always has the higher number.
	 * @param configurationVersion version that the order carries out
	 * @return number with the version in the upper bits and the grant in the lower ones
	 */
	public FencingNumber forOrder(long configurationVersion) {
		return new FencingNumber((configurationVersion << GRANT_BITS) + this.value);
	}

	@Override
	public int compareTo(FencingNumber other) {
		return Long.compare(this.value, other.value);
	}

}
