package io.bilberryvalve.policy.path;

/**
 * Load of a runner, or of a link between data centres, by requests in progress.
 * Immutable.
 *
 * @param running number of requests whose path contains it
 * @param tokenLayers sum over these requests of their tokens, including the expected
 * answer, times the layers used here
 * @param firstHops number of requests that have it as the first hop
 * @param prefillTokenLayers sum of the prompt tokens that still have to be prefilled,
 * times the layers used here
 */
public record RunnerLoad(int running, long tokenLayers, int firstHops, long prefillTokenLayers) {

	/** Load without requests. */
	public static final RunnerLoad NONE = new RunnerLoad(0, 0, 0, 0);

	/**
	 * Adds two loads.
	 * @param other load to add; its numbers may be negative
	 * @return a new load with the sums
	 */
	public RunnerLoad plus(RunnerLoad other) {
		return new RunnerLoad(this.running + other.running, this.tokenLayers + other.tokenLayers,
				this.firstHops + other.firstHops, this.prefillTokenLayers + other.prefillTokenLayers);
	}

	/**
	 * Subtracts a load.
	 * @param other load to subtract
	 * @return a new load with the differences
	 */
	public RunnerLoad minus(RunnerLoad other) {
		return new RunnerLoad(this.running - other.running, this.tokenLayers - other.tokenLayers,
				this.firstHops - other.firstHops, this.prefillTokenLayers - other.prefillTokenLayers);
	}

}
