package io.bilberryvalve.model;

/**
 * Identifies an operation of an application.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record OperationId(String value) implements Comparable<OperationId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public OperationId {
		Identifiers.check("OperationId", value);
	}

	@Override
	public int compareTo(OperationId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
