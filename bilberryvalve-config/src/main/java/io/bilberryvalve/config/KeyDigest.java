package io.bilberryvalve.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.regex.Pattern;

/**
 * Digests of keys and documents: SHA-256 as 64 lower-case hexadecimal digits.
 */
public final class KeyDigest {

	private static final Pattern FORM = Pattern.compile("[0-9a-f]{64}");

	private KeyDigest() {
	}

	/**
	 * Returns the digest of a text.
	 * @param text the text, digested in UTF-8
	 * @return its digest
	 */
	public static String of(String text) {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java runtime has SHA-256", ex);
		}
	}

	/**
	 * Checks the form of a digest.
	 * @param digest the digest
	 * @return the digest
	 * @throws IllegalArgumentException if it is not 64 lower-case hexadecimal digits
	 */
	public static String check(String digest) {
		if (!FORM.matcher(digest).matches()) {
			throw new IllegalArgumentException(
					"the key digest is not valid; write the SHA-256 of the key as 64 lower-case hexadecimal digits");
		}
		return digest;
	}

}
