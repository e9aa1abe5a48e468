package io.bilberryvalve.daemon.call;

/**
 * Limits the retries of idempotent calls in relation to the number of calls.
 */
public interface RetryAllowance {

	/**
	 * Records the first attempt of a call.
	 */
	void recordAttempt();

	/**
	 * Takes one retry from the allowance.
	 * @return whether the retry may be sent
	 */
	boolean tryRetry();

}
