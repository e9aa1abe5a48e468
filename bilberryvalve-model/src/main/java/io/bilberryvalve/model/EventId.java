package io.bilberryvalve.model;

import org.jspecify.annotations.Nullable;

/**
 * Position in a reply. The caller receives it with each token, and sends it back in the
 * {@code Last-Event-ID} header to resume the reply after that token.
 *
 * @param request request that the reply answers
 * @param epoch number of the attempt that produced the token, from 1
 * @param index token index, from 0
 * @param runner first runner of the chain that produced the token
 */
public record EventId(RequestId request, int epoch, int index, RunnerId runner) {

	/**
	 * Checks the ranges of the numbers.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public EventId {
		if (epoch < 1 || index < 0) {
			throw new IllegalArgumentException("epoch must be at least 1 and index at least 0");
		}
	}

	/**
	 * Parses the text form {@code <request>/<epoch>/<index>@<runner>}.
	 * @param text the text
	 * @return the position
	 * @throws IllegalArgumentException if the text does not have this form
	 */
	public static EventId parse(String text) {
		int at = text.indexOf('@');
		String[] parts = (at < 0) ? new String[0] : text.substring(0, at).split("/", -1);
		if (parts.length != 3) {
			throw malformed(text, null);
		}
		try {
			return new EventId(RequestId.parse(parts[0]), Integer.parseInt(parts[1]), Integer.parseInt(parts[2]),
					new RunnerId(text.substring(at + 1)));
		}
		catch (IllegalArgumentException ex) {
			throw malformed(text, ex);
		}
	}

	private static IllegalArgumentException malformed(String text, @Nullable Exception cause) {
		return new IllegalArgumentException(
				"event id '" + text + "' is not valid; send the id of the last event received unchanged", cause);
	}

	@Override
	public String toString() {
		return this.request + "/" + this.epoch + "/" + this.index + "@" + this.runner;
	}

}
