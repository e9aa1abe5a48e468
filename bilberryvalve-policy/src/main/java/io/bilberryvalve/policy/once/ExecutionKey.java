package io.bilberryvalve.policy.once;

import io.bilberryvalve.model.ClubId;

/**
 * An idempotency key within a club.
 *
 * @param club club of the caller
 * @param key key chosen by the caller, 1 to 200 printable ASCII characters
 */
public record ExecutionKey(ClubId club, String key) {

	/** Largest length of a key in characters. */
	public static final int MAX_LENGTH = 200;

	/**
	 * Checks the key.
	 * @throws IllegalArgumentException if the key is empty, too long or holds other
	 * characters
	 */
	public ExecutionKey {
		if (key.isEmpty() || key.length() > MAX_LENGTH || !key.chars().allMatch((c) -> c > ' ' && c < 127)) {
			throw new IllegalArgumentException(
					"idempotency key is not valid; use 1 to " + MAX_LENGTH + " printable ASCII characters");
		}
	}

	/**
	 * Parses the text form: club, slash and key.
	 * @param text for example {@code pavio/order-17}
	 * @return the key with its club
	 * @throws IllegalArgumentException if the text has no slash or its key is not valid
	 */
	public static ExecutionKey parse(String text) {
		int slash = text.indexOf('/');
		if (slash < 0) {
			throw new IllegalArgumentException("execution key '" + text + "' has no club");
		}
		return new ExecutionKey(new ClubId(text.substring(0, slash)), text.substring(slash + 1));
	}

	@Override
	public String toString() {
		return this.club + "/" + this.key;
	}

}
