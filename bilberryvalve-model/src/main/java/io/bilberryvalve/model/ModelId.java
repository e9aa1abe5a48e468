package io.bilberryvalve.model;

/**
 * Identifies a language model.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record ModelId(String value) implements Comparable<ModelId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public ModelId {
		Identifiers.check("ModelId", value);
	}

	@Override
	public int compareTo(ModelId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
