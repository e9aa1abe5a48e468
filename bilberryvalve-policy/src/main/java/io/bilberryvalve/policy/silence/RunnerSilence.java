package io.bilberryvalve.policy.silence;

import io.bilberryvalve.model.RunnerId;

/**
 * Time for which none of the streams through a runner has had an event.
 *
 * @param runner identifier of the runner
 * @param millis time since the last event of any of these streams
 * @param streams number of streams through the runner that have had at least one event
 */
public record RunnerSilence(RunnerId runner, long millis, int streams) {

	/**
	 * Validates the numbers.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public RunnerSilence {
		if (millis < 0 || streams < 0) {
			throw new IllegalArgumentException("the time and the number of streams of a silence must not be negative");
		}
	}

}
