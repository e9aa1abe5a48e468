package io.bilberryvalve.policy.once;

import java.time.Instant;

import org.jspecify.annotations.Nullable;

/**
 * Record of a non-idempotent call, as stored in the table service.
 *
 * @param requestDigest digest by which a different request with the same key is
 * recognised
 * @param token attempt token, unique to the attempt that wrote the record
 * @param state how far the attempt has come
 * @param createdAt time at which the attempt began; the lifetime of the record starts
 * here
 * @param result result of the call, or {@code null} if there is none
 */
public record ExecutionRecord(String requestDigest, String token, State state, Instant createdAt,
		@Nullable String result) {

	ExecutionRecord completed(String value) {
		return new ExecutionRecord(this.requestDigest, this.token, State.COMPLETED, this.createdAt, value);
	}

	ExecutionRecord released() {
		return new ExecutionRecord(this.requestDigest, this.token, State.RELEASED, this.createdAt, null);
	}

	/**
	 * State of an attempt.
	 */
	public enum State {

		/**
		 * The call may have been dispatched. Only the attempt that wrote the token may
		 * continue.
		 */
		RESERVED,

		/** The call has a result. */
		COMPLETED,

		/**
		 * The attempt dispatched nothing and never will; another attempt may replace the
		 * record.
		 */
		RELEASED

	}

}
