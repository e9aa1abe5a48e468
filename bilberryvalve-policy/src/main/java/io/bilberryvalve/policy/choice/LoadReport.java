package io.bilberryvalve.policy.choice;

import java.time.Instant;

import io.bilberryvalve.model.RunnerId;

/**
 * Load of a runner as the runner reported it.
 *
 * @param runner runner that sent the report
 * @param observedAt time at which the runner observed the load; earlier than the arrival
 * of the report
 * @param queuedTokens tokens that wait or run at the runner
 * @param running number of running streams
 * @param tokensPerSecond rate of the runner at that time, in tokens per second
 * @param kvFreeFraction free part of the KV cache, 0 to 1
 * @param state whether the runner accepts new work
 */
public record LoadReport(RunnerId runner, Instant observedAt, long queuedTokens, int running, double tokensPerSecond,
		double kvFreeFraction, State state) {

	/**
	 * Tells whether a runner accepts new work.
	 */
	public enum State {

		/** The runner accepts new work. */
		SERVING,

		/** The runner finishes its work and accepts no new work. */
		LEAVING

	}

}
