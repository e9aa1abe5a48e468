package io.bilberryvalve.model;

/**
 * Identifies a team within a club.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record TeamId(String value) implements Comparable<TeamId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public TeamId {
		Identifiers.check("TeamId", value);
	}

	@Override
	public int compareTo(TeamId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
