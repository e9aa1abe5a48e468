package io.bilberryvalve.policy.outcome;

/**
 * Decision about a token event: whether it is delivered, or why it is dropped.
 */
public enum Verdict {

	/** The event is the next one and is delivered. */
	DELIVER,

	/** The event belongs to an earlier epoch and is dropped. */
	OLD_EPOCH,

	/** The event belongs to an epoch that has not started and is dropped. */
	FUTURE_EPOCH,

	/** The token was delivered before; the event is dropped. */
	DUPLICATE,

	/**
	 * An event before this one is missing; the event is dropped and the attempt cannot
	 * continue.
	 */
	GAP,

	/**
	 * The trace of the token lacks a layer, repeats one or has them out of order; the
	 * event is dropped and the attempt cannot continue.
	 */
	BAD_TRACE,

	/** The reply has ended; the event is dropped. */
	ENDED;

	/**
	 * Returns whether the attempt that sent the event must be replaced.
	 * @return whether the event shows a fault of the current attempt
	 */
	public boolean failsAttempt() {
		return this == GAP || this == BAD_TRACE;
	}

}
