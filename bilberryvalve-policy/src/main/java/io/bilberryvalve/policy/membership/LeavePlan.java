package io.bilberryvalve.policy.membership;

/**
 * Which requests a leaving daemon still accepts. Callers keep its address for a while, so
 * it accepts all at first. Later it accepts only what ends in time, and only if no other
 * daemon serves: several daemons may leave at once while the last one fails.
 *
 * @param refuseAt time in milliseconds from which callers should know other daemons
 * @param endAt time in milliseconds at which the daemon stops
 */
public record LeavePlan(long refuseAt, long endAt) {

	/** A request may take longer than expected by this factor. */
	private static final double MARGIN = 2;

	/**
	 * Decides about a request.
	 * @param now time in milliseconds
	 * @param expectedMillis expected time of the request
	 * @param othersServe whether callers can go to other daemons
	 * @return whether to reject it
	 */
	public boolean refuses(long now, long expectedMillis, boolean othersServe) {
		if (now < this.refuseAt) {
			return false;
		}
		return othersServe || now + MARGIN * expectedMillis > this.endAt;
	}

}
