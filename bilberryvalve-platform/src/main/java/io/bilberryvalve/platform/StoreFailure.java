package io.bilberryvalve.platform;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Why a platform service did not answer a request.
 *
 * @param kind kind of the failure
 * @param detail what happened
 * @param retryAfter when a repetition can succeed, or {@code null} if the service gave no
 * time
 */
public record StoreFailure(Kind kind, String detail, @Nullable Duration retryAfter) {

	/**
	 * Creates a failure without a time for a repetition.
	 * @param kind kind of the failure
	 * @param detail what happened
	 * @return the failure
	 */
	public static StoreFailure of(Kind kind, String detail) {
		return new StoreFailure(kind, detail, null);
	}

	/**
	 * Kind of a failure.
	 */
	public enum Kind {

		/** The rate limit was exceeded; nothing was done. */
		RATE_LIMITED,

		/** No address accepted a connection; nothing was done. */
		UNREACHABLE,

		/** The service reported an outage; nothing was done. */
		OUTAGE,

		/** The service rejected the request as malformed; nothing was done. */
		REJECTED,

		/** No answer arrived in time. */
		TIMEOUT,

		/** The connection failed after the request was sent, or the answer is damaged. */
		ANSWER_LOST

	}

}
