package io.bilberryvalve.model;

/**
 * Identifies a pipeline that callers address as a model.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record PipelineId(String value) implements Comparable<PipelineId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public PipelineId {
		Identifiers.check("PipelineId", value);
	}

	@Override
	public int compareTo(PipelineId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
