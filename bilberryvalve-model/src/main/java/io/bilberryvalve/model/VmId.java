package io.bilberryvalve.model;

/**
 * Identifies a virtual machine.
 *
 * @param value lower-case letters, digits, dots and hyphens, 1 to 63 characters, starting
 * with a letter or digit
 */
public record VmId(String value) implements Comparable<VmId> {

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if the value does not have the required form
	 */
	public VmId {
		Identifiers.check("VmId", value);
	}

	@Override
	public int compareTo(VmId other) {
		return this.value.compareTo(other.value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
