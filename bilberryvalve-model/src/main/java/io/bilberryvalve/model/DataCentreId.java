package io.bilberryvalve.model;

/**
 * Identifies a data centre.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record DataCentreId(String value) implements Comparable<DataCentreId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public DataCentreId {
		Identifiers.check("DataCentreId", value);
	}

	@Override
	public int compareTo(DataCentreId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
