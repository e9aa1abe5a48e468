package io.bilberryvalve.model;

/**
 * Identifies a kind of accelerator.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record AcceleratorKind(String value) implements Comparable<AcceleratorKind> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public AcceleratorKind {
		Identifiers.check("AcceleratorKind", value);
	}

	@Override
	public int compareTo(AcceleratorKind other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
