package io.bilberryvalve.policy.silence;

import io.bilberryvalve.model.RunnerId;

/**
 * How long no event has come from any stream that passes a runner.
 *
 * @param runner the runner
 * @param millis time since the last event
 * @param streams streams that pass it and have had events
 */
public record RunnerSilence(RunnerId runner, long millis, int streams) {

	/**
	 * Checks the silence.
	 * @throws IllegalArgumentException if a number is negative
	 */
	public RunnerSilence {
		if (millis < 0 || streams < 0) {
			throw new IllegalArgumentException("a silence has no negative time and no negative number of streams");
		}
	}

}
