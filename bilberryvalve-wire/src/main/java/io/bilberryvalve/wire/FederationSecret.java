package io.bilberryvalve.wire;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Immutable secret that all daemons of a federation share. It authenticates connections
 * between daemons and is never part of logs or of the result of {@link #toString()}.
 */
public final class FederationSecret {

	/** Minimum length in bytes. */
	public static final int MIN_BYTES = 16;

	private static final String ALGORITHM = "HmacSHA256";

	private final SecretKeySpec key;

	/**
	 * Creates a secret.
	 * @param secret bytes of the secret, at least {@value #MIN_BYTES} bytes
	 * @throws IllegalArgumentException if the secret is too short
	 */
	public FederationSecret(byte[] secret) {
		if (secret.length < MIN_BYTES) {
			throw new IllegalArgumentException("the federation secret has " + secret.length + " bytes; use at least "
					+ MIN_BYTES + " random bytes");
		}
		this.key = new SecretKeySpec(secret, ALGORITHM);
	}

	/**
	 * Creates a secret from a text encoded as UTF-8.
	 * @param text text of the secret, at least {@value #MIN_BYTES} bytes when encoded
	 * @return a secret with the encoded bytes
	 * @throws IllegalArgumentException if the encoded text is too short
	 */
	public static FederationSecret of(String text) {
		return new FederationSecret(text.getBytes(StandardCharsets.UTF_8));
	}

	byte[] sign(byte[] content) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(this.key);
			return mac.doFinal(content);
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("the runtime has no " + ALGORITHM + "; use a complete Java runtime", ex);
		}
	}

	@Override
	public String toString() {
		return "FederationSecret[hidden]";
	}

}
