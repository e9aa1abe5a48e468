package io.bilberryvalve.model;

/**
 * Kinds of problems reported to callers and operators. Their {@linkplain #text() text
 * forms} are part of the HTTP interface.
 */
public enum ProblemKind {

	/** The request is malformed. */
	BAD_REQUEST("bad-request", 400),

	/** The credentials are missing or unknown. */
	UNAUTHENTICATED("unauthenticated", 401),

	/** The caller may not use the resource. */
	FORBIDDEN("forbidden", 403),

	/** The resource does not exist. */
	NOT_FOUND("not-found", 404),

	/** The method is not allowed for the resource. */
	METHOD_NOT_ALLOWED("method-not-allowed", 405),

	/** A configuration submission conflicts with another one. */
	CONFLICT("conflict", 409),

	/** The idempotency key was used with a different request. */
	KEY_REUSED("key-reused", 422),

	/** Another attempt with the same idempotency key has not yet reported a result. */
	IN_PROGRESS("in-progress", 409),

	/** The request body exceeds the limit. */
	TOO_LARGE("too-large", 413),

	/** The configuration document is not valid. */
	INVALID_CONFIGURATION("invalid-configuration", 422),

	/** The queue of the team is full or the deadline cannot be met. */
	OVERLOADED("overloaded", 429),

	/** The entry is draining or not ready. */
	UNAVAILABLE("unavailable", 503),

	/** No chain of runners covers the model. */
	NO_RUNNER("no-runner", 503),

	/** A platform store does not answer. */
	STORE_UNAVAILABLE("store-unavailable", 503),

	/** A runner failed or did not answer. */
	RUNNER_FAILED("runner-failed", 502),

	/** The deadline passed. */
	DEADLINE_EXCEEDED("deadline-exceeded", 504),

	/** The reply can no longer be resumed. */
	REPLY_LOST("reply-lost", 410),

	/** An error inside the system. */
	INTERNAL("internal", 500);

	private final String text;

	private final int status;

	ProblemKind(String text, int status) {
		this.text = text;
		this.status = status;
	}

	/**
	 * Returns the name used in the type of a problem document. It does not change between
	 * versions.
	 * @return the name, for example {@code overloaded}
	 */
	public String text() {
		return this.text;
	}

	/**
	 * Returns the HTTP status code of responses that report this kind.
	 * @return the status code, from 400 to 599
	 */
	public int status() {
		return this.status;
	}

}
