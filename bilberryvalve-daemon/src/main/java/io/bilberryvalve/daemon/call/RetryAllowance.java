package io.bilberryvalve.daemon.call;

/**
 * Limits the retries of idempotent calls.
 */
public interface RetryAllowance {

	/**
	 * Counts a first attempt.
	 */
	void recordAttempt();

	/**
	 * Asks to send a retry.
	 * @return whether the retry may be sent
	 */
	boolean tryRetry();

}
