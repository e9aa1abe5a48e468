package io.bilberryvalve.policy.lease;

/**
 * Number of a lease grant. It increases with each grant to another holder.
 *
 * @param value the number, at least 1
 */
public record FencingNumber(long value) implements Comparable<FencingNumber> {

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

	@Override
	public int compareTo(FencingNumber other) {
		return Long.compare(this.value, other.value);
	}

}
