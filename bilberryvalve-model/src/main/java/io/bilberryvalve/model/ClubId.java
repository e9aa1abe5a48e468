package io.bilberryvalve.model;

/**
 * Identifies a club, a customer organisation that shares the federation.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record ClubId(String value) implements Comparable<ClubId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public ClubId {
		Identifiers.check("ClubId", value);
	}

	@Override
	public int compareTo(ClubId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
