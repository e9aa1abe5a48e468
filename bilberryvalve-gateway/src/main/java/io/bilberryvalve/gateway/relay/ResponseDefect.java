package io.bilberryvalve.gateway.relay;

/** Reason why the response of an attempt is of no use. */
enum ResponseDefect {

	/** An event, or a body that is dropped, is too long. */
	TOO_LONG("an event or a body without use is too long", true),

	/** The runner repeats events that the caller has without getting any further. */
	REPEATS("events are repeated without end", true),

	/** An event does not follow those that the caller has. */
	GAP("an event does not continue the stream", false),

	/** The responses of all attempts take too much memory. */
	MEMORY("responses of runners take too much memory", false);

	private final String reason;

	private final boolean failure;

	ResponseDefect(String reason, boolean failure) {
		this.reason = reason;
		this.failure = failure;
	}

	/**
	 * Returns a description for the log.
	 * @return the reason
	 */
	String reason() {
		return this.reason;
	}

	/**
	 * Tells whether the runner is avoided for a while.
	 * @return {@code true} if its next responses are likely to have the same defect
	 */
	boolean isFailure() {
		return this.failure;
	}

}
