package io.bilberryvalve.policy.once;

import java.time.Instant;

import org.jspecify.annotations.Nullable;

/**
 * Record of a non-idempotent call in the table service.
 *
 * @param requestDigest digest of the request
 * @param token attempt token, unique to the attempt that wrote the record
 * @param state state of the attempt
 * @param createdAt when the attempt began
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

		/** The call may have been dispatched. Only the owner of the token may go on. */
		RESERVED,

		/** The call has a result. */
		COMPLETED,

		/** The attempt dispatched nothing and never will; another one may follow. */
		RELEASED

	}

}
