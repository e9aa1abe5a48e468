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
 * Call of an operation of an application, as sent to a runner.
 *
 * @param club club of the caller
 * @param application the application
 * @param operation the operation
 * @param contentType value of the {@code Content-Type} header
 * @param body request body; the array is not copied
 * @param key idempotency key forwarded to the runner, or {@code null} if the caller sent
 * none
 */
public record ApplicationCall(ClubId club, ApplicationId application, OperationId operation, String contentType,
		byte[] body, @Nullable String key) {

	/**
	 * Returns a digest that distinguishes different requests with the same key.
	 * @return the SHA-256 over the application, the operation, the content type and the
	 * body, as 64 hexadecimal digits
	 */
	public String digest() {
		try {
			MessageDigest digest = MessageDigest.getInstance("SHA-256");
			String head = this.application + "\n" + this.operation + "\n" + this.contentType + "\n";
			digest.update(head.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest.digest(this.body));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("SHA-256 is not available", ex);
		}
	}

}
