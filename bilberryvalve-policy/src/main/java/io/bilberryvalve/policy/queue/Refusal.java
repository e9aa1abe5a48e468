package io.bilberryvalve.policy.queue;

/**
 * What decides whether a {@link WaitQueue} rejects a request.
 *
 * @param priority class of the request
 * @param costAhead cost that is ahead of it in its class and more urgent ones
 * @param costPerSecond measured rate of admitted cost, 0 if it has not been measured
 */
public record Refusal(int priority, long costAhead, double costPerSecond) {

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Returns the expected time until the cost ahead has been admitted.
	 * @return milliseconds, 0 if the rate has not been measured
	 */
	public double expectedWaitMillis() {
		return (this.costPerSecond > 0) ? this.costAhead * MILLIS_PER_SECOND / this.costPerSecond : 0;
	}

}
