package io.bilberryvalve.policy.path;

/**
 * Requests in progress at a runner, or on a link.
 *
 * @param running requests that pass it
 * @param tokenLayers their tokens with the expected answers, times layers that they pass
 * there
 * @param firstHops requests that it received as the first of their path
 * @param prefillTokenLayers prompt tokens not read yet, times layers that they pass there
 */
public record RunnerLoad(int running, long tokenLayers, int firstHops, long prefillTokenLayers) {

	/** No request. */
	public static final RunnerLoad NONE = new RunnerLoad(0, 0, 0, 0);

	/**
	 * Adds.
	 * @param other another load
	 * @return the sum
	 */
	public RunnerLoad plus(RunnerLoad other) {
		return new RunnerLoad(this.running + other.running, this.tokenLayers + other.tokenLayers,
				this.firstHops + other.firstHops, this.prefillTokenLayers + other.prefillTokenLayers);
	}

}
