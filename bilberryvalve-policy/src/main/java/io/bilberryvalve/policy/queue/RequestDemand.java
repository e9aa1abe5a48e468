package io.bilberryvalve.policy.queue;

/**
 * What a request needs of a {@link WaitQueue}.
 *
 * @param priority its class; lower numbers are served first
 * @param team name of the team of its caller, empty if there is none
 * @param cost estimated cost, as {@link RequestCost} returns
 * @param limits how long it may wait
 */
public record RequestDemand(int priority, String team, long cost, WaitQueue.WaitLimits limits) {

	/**
	 * Validates the cost.
	 * @throws IllegalArgumentException if the cost is not positive
	 */
	public RequestDemand {
		if (cost < 1) {
			throw new IllegalArgumentException("the cost of a request is at least 1: " + cost);
		}
	}

}
