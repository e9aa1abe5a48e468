package io.bilberryvalve.policy.membership;

/**
 * Which requests a leaving daemon still accepts. Callers keep its address for a while, so
 * it accepts all at first. Later it accepts only what its time limit ends before the
 * daemon stops, and only if no other daemon serves: several daemons may leave at once
 * while the last one fails.
 *
 * @param refuseAtMillis time in milliseconds from which callers should know other daemons
 * @param stopAtMillis time in milliseconds at which the daemon stops
 */
public record ShutdownSchedule(long refuseAtMillis, long stopAtMillis) {

	/**
	 * Decides about a request.
	 * @param now time in milliseconds
	 * @param longestMillis longest time that the request may take
	 * @param othersServe whether callers can go to other daemons
	 * @return whether to reject it
	 */
	public boolean refuses(long now, long longestMillis, boolean othersServe) {
		if (now < this.refuseAtMillis) {
			return false;
		}
		return othersServe || now + longestMillis > this.stopAtMillis;
	}

	/**
	 * Decides whether the daemon may stop.
	 * @param now time in milliseconds
	 * @param requests requests in progress
	 * @param othersServe whether callers can go to other daemons
	 * @return whether nobody needs it any more, or its time is over
	 */
	public boolean mayStop(long now, int requests, boolean othersServe) {
		return now >= this.stopAtMillis || (now >= this.refuseAtMillis && requests == 0 && othersServe);
	}

}
