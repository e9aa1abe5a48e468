package io.bilberryvalve.model;

/**
 * Identifies an application whose calls the system routes.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record ApplicationId(String value) implements Comparable<ApplicationId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public ApplicationId {
		Identifiers.check("ApplicationId", value);
	}

	@Override
	public int compareTo(ApplicationId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
