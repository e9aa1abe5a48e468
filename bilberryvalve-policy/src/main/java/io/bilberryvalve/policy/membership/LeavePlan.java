package io.bilberryvalve.policy.membership;

/**
 * Which requests a leaving daemon still accepts. Callers keep its address for a while, so
 * it accepts all at first. Later it accepts only what its time limit ends before the
 * daemon stops, and only if no other daemon serves: several daemons may leave at once
 * while the last one fails.
 *
 * @param refuseAt time in milliseconds from which callers should know other daemons
 * @param endAt time in milliseconds at which the daemon stops
 */
public record LeavePlan(long refuseAt, long endAt) {

	/**
	 * Decides about a request.
	 * @param now time in milliseconds
	 * @param longestMillis longest time that the request may take
	 * @param othersServe whether callers can go to other daemons
	 * @return whether to reject it
	 */
	public boolean refuses(long now, long longestMillis, boolean othersServe) {
		if (now < this.refuseAt) {
			return false;
		}
		return othersServe || now + longestMillis > this.endAt;
	}

	/**
	 * Decides whether the daemon may stop.
	 * @param now time in milliseconds
	 * @param requests requests in progress
	 * @param othersServe whether callers can go to other daemons
	 * @return whether nobody needs it any more, or its time is over
	 */
	public boolean ended(long now, int requests, boolean othersServe) {
		return now >= this.endAt || (now >= this.refuseAt && requests == 0 && othersServe);
	}

}
