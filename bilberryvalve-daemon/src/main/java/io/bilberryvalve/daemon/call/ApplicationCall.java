package io.bilberryvalve.daemon.call;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.OperationId;
import org.jspecify.annotations.Nullable;

/**
 * A call of an application operation.
 *
 * @param club club of the caller
 * @param application the application
 * @param operation the operation
 * @param contentType content type of the body
 * @param body the body
 * @param key idempotency key passed on to the runner, or {@code null} for none
 */
public record ApplicationCall(ClubId club, ApplicationId application, OperationId operation, String contentType,
		byte[] body, @Nullable String key) {

	/**
	 * Returns the digest that tells apart different requests with the same key.
	 * @return the SHA-256 of the application, the operation, the content type and the
	 * body, 64 hexadecimal digits
	 */
	public String digest() {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			String head = this.application + "\n" + this.operation + "\n" + this.contentType + "\n";
			digest.update(head.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest.digest(this.body));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("every Java runtime has SHA-256", ex);
		}
	}

}
