package io.bilberryvalve.policy.chain;

import io.bilberryvalve.model.Runner;

/**
 * A runner that a planner may use, with its speed and queue.
 *
 * @param runner runner that holds layers of the model
 * @param layersPerSecond layers that it computes per second in the decode phase, positive
 * @param queueSeconds expected time that a request waits at the runner, in seconds
 */
public record Candidate(Runner runner, double layersPerSecond, double queueSeconds) {

	/**
	 * Checks the numbers.
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public Candidate {
		if (!(layersPerSecond > 0) || !(queueSeconds >= 0)) {
			throw new IllegalArgumentException(
					"runner '" + runner.id() + "' needs a speed above 0 and a queue time of at least 0");
		}
	}

	/**
	 * Returns the time that one token spends at the runner.
	 * @param layers number of layers to compute
	 * @return queue and compute time in seconds
	 */
	public double seconds(int layers) {
		return this.queueSeconds + layers / this.layersPerSecond;
	}

}
