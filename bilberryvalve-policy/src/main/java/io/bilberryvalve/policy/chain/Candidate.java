package io.bilberryvalve.policy.chain;

import io.bilberryvalve.model.Runner;

/**
 * A runner that a chain may use.
 *
 * @param runner the runner
 * @param layersPerSecond layers that it computes a second in the decode phase, positive
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
					"runner '" + runner.id() + "' needs a positive speed and no negative queue");
		}
	}

	/**
	 * Returns the time to compute layers for one token.
	 * @param layers number of layers
	 * @return queue and compute time in seconds
	 */
	public double seconds(int layers) {
		return this.queueSeconds + layers / this.layersPerSecond;
	}

}
