package io.bilberryvalve.model;

/**
 * Identifies a request across the federation. It contains the VM of the entry that owns
 * the request, so that another entry can ask the owner about it.
 *
 * @param entry VM of the entry that accepted the request
 * @param incarnation incarnation of the entry's daemon, higher for each later start on
 * the VM
 * @param sequence sequence number of the request within the incarnation, from 0
 */
public record RequestId(VmId entry, long incarnation, long sequence) {

	private static final int RADIX = 36;

	/**
	 * Checks the identifier.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public RequestId {
		if (incarnation < 0 || sequence < 0) {
			throw new IllegalArgumentException("incarnation and sequence must not be negative");
		}
	}

	/**
	 * Parses the text form.
	 * @param text for example {@code pav-1_k3f9_2a}
	 * @return the identifier
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static RequestId parse(String text) {
		String[] parts = text.split("_", -1);
		if (parts.length != 3) {
			throw new IllegalArgumentException(
					"request id '" + text + "' is not valid; copy it unchanged from the reply");
		}
		try {
			return new RequestId(new VmId(parts[0]), Long.parseLong(parts[1], RADIX), Long.parseLong(parts[2], RADIX));
		}
		catch (IllegalArgumentException ex) {
			throw new IllegalArgumentException(
					"request id '" + text + "' is not valid; copy it unchanged from the reply", ex);
		}
	}

	@Override
	public String toString() {
		return this.entry + "_" + Long.toString(this.incarnation, RADIX) + "_" + Long.toString(this.sequence, RADIX);
	}

}
