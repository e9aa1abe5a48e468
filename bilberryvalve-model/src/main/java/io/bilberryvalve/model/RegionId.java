package io.bilberryvalve.model;

/**
 * Identifies a region, a group of data centres.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record RegionId(String value) implements Comparable<RegionId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public RegionId {
		Identifiers.check("RegionId", value);
	}

	@Override
	public int compareTo(RegionId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
