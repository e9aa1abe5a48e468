package io.bilberryvalve.model;

/**
 * Identifies a caller known to a club.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record CallerId(String value) implements Comparable<CallerId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public CallerId {
		Identifiers.check("CallerId", value);
	}

	@Override
	public int compareTo(CallerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
