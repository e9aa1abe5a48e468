package io.bilberryvalve.platform.memory;

/**
 * A fault of one request to a service in memory.
 */
public enum Fault {

	/** The request succeeds. */
	NONE,

	/** The request is refused by the rate limit, without effect. */
	RATE_LIMIT,

	/** The request is refused by an outage, without effect. */
	OUTAGE,

	/** The request is lost before the service; the sender sees a timeout. */
	LOSE_REQUEST,

	/** The request takes effect; its answer is lost. */
	LOSE_ANSWER,

	/**
	 * The sender sees a timeout; the request takes effect when
	 * {@link FaultInjector#deliverLate()} is called.
	 */
	LATE,

	/**
	 * The request waits, without an answer, until {@link FaultInjector#release()} is
	 * called.
	 */
	HOLD

}
