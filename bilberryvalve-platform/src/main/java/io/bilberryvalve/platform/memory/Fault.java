package io.bilberryvalve.platform.memory;

/**
 * Fault of one request to an in-memory service.
 */
public enum Fault {

	/** The request succeeds. */
	NONE,

	/** The rate limit refuses the request, without effect. */
	RATE_LIMIT,

	/** The service refuses the request because of an outage, without effect. */
	OUTAGE,

	/** The request does not reach the service; the sender sees a timeout. */
	LOSE_REQUEST,

	/** The request takes effect, but its response is lost. */
	LOSE_ANSWER,

	/**
	 * The sender sees a timeout; the request takes effect when
	 * {@link FaultInjector#deliverLate()} is called.
	 */
	LATE,

	/**
	 * The request waits, without a response, until {@link FaultInjector#release()} is
	 * called.
	 */
	HOLD

}
