package io.bilberryvalve.model;

/**
 * Identifies a runner, a back end that executes model layers or application calls.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record RunnerId(String value) implements Comparable<RunnerId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public RunnerId {
		Identifiers.check("RunnerId", value);
	}

	@Override
	public int compareTo(RunnerId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
