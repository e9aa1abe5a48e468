package io.bilberryvalve.platform.watch;

import java.time.Duration;

/**
 * Divides the calls that the store accepts among the polls of all daemons. Short polls
 * notice soon that the store has lost one of them, but each costs a call.
 *
 * @param tables tables that each daemon watches
 * @param readsPerSecond reads that the store accepts from all daemons each second
 */
public record PollBudget(int tables, int readsPerSecond) {

	/**
	 * Shortest wait of a poll. With the time limit of the call it ends within the 2 s in
	 * which a configuration must come into force.
	 */
	static final Duration SHORTEST_WAIT = Duration.ofMillis(1200);

	/** Longest wait of a poll; the store accepts 30 s. */
	static final Duration LONGEST_WAIT = Duration.ofSeconds(25);

	/** Part of the reads that polls may use. */
	private static final double POLL_SHARE = 0.5;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Checks the values.
	 * @throws IllegalArgumentException if a value is not positive
	 */
	public PollBudget {
		if (tables < 1 || readsPerSecond < 1) {
			throw new IllegalArgumentException("a poll budget needs at least one table and one read per second, not "
					+ tables + " and " + readsPerSecond);
		}
	}

	/**
	 * Returns how long a poll may wait for a change.
	 * @param daemons number of daemons that poll
	 * @return the wait, longer the more daemons there are
	 */
	public Duration pollWait(int daemons) {
		long millis = Math.round(daemons * this.tables * MILLIS_PER_SECOND / (this.readsPerSecond * POLL_SHARE));
		return Duration.ofMillis(Math.max(SHORTEST_WAIT.toMillis(), Math.min(LONGEST_WAIT.toMillis(), millis)));
	}

}
