package io.bilberryvalve.policy.membership;

/**
 * Decides which requests a leaving daemon still accepts and when it may stop. Callers
 * keep using its address for a while, so at first it accepts all requests but those that
 * might have to be cut off and cannot be repeated. Later it accepts requests only if no
 * other daemon serves, because several daemons may leave at once while the last one
 * fails, and only those whose time limit ends before the daemon stops. Immutable.
 *
 * @param refuseAtMillis time in milliseconds from which callers are expected to know the
 * addresses of other daemons
 * @param stopAtMillis time in milliseconds at which the daemon stops in any case
 */
public record ShutdownSchedule(long refuseAtMillis, long stopAtMillis) {

	/**
	 * Decides whether a new request is refused.
	 * @param now current time in milliseconds
	 * @param longestMillis longest time that the request may take, in milliseconds
	 * @param repeatable whether the request may be repeated or resumed elsewhere if it is
	 * cut off
	 * @param othersServe whether other daemons serve the callers
	 * @return whether to refuse the request
	 */
	public boolean refuses(long now, long longestMillis, boolean repeatable, boolean othersServe) {
		boolean mayOutlast = now + longestMillis > this.stopAtMillis;
		if (now < this.refuseAtMillis) {
			return othersServe && !repeatable && mayOutlast;
		}
		return othersServe || mayOutlast;
	}

	/**
	 * Decides whether a request that was accepted is to be rejected instead of being sent
	 * to a runner, because its answer would be cut off.
	 * @param now current time in milliseconds
	 * @param expectedMillis expected time until the end of the answer, in milliseconds
	 * @param othersServe whether other daemons serve the callers
	 * @return whether the answer would end after the daemon stops, while others could
	 * give it
	 */
	public boolean outlasts(long now, double expectedMillis, boolean othersServe) {
		return othersServe && now + expectedMillis > this.stopAtMillis;
	}

	/**
	 * Decides whether the daemon may stop.
	 * @param now current time in milliseconds
	 * @param requests number of requests in progress
	 * @param othersServe whether other daemons serve the callers
	 * @return whether no caller needs the daemon any more, or the time at which it stops
	 * has come
	 */
	public boolean mayStop(long now, int requests, boolean othersServe) {
		return now >= this.stopAtMillis || (now >= this.refuseAtMillis && requests == 0 && othersServe);
	}

}
