package io.bilberryvalve.platform;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Reason why a request to a platform service has no usable response.
 *
 * @param kind kind of the failure
 * @param detail what happened
 * @param retryAfter time after which a retry can succeed, or {@code null} if the service
 * gave no time
 */
public record StoreFailure(Kind kind, String detail, @Nullable Duration retryAfter) {

	/**
	 * Creates a failure without a time for a retry.
	 * @param kind kind of the failure
	 * @param detail what happened
	 * @return the failure
	 */
	public static StoreFailure of(Kind kind, String detail) {
		return new StoreFailure(kind, detail, null);
	}

	/**
	 * Kind of a failure. It tells whether the request can have taken effect.
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

		/** No response arrived in time; the request may have taken effect. */
		TIMEOUT,

		/**
		 * The connection failed after the request was sent, or the response is damaged;
		 * the request may have taken effect.
		 */
		ANSWER_LOST,

		/**
		 * The response is from an earlier era of the store than one seen before and was
		 * discarded; what the request did may have been lost when the store was restored.
		 */
		EARLIER_ERA

	}

}
