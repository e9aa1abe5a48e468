package io.bilberryvalve.model;

/**
 * Identifies an operator of a club.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record OperatorId(String value) implements Comparable<OperatorId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public OperatorId {
		Identifiers.check("OperatorId", value);
	}

	@Override
	public int compareTo(OperatorId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
