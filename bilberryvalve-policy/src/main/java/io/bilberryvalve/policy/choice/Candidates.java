package io.bilberryvalve.policy.choice;

/**
 * The candidates for one request. A candidate is a runner or a chain and is identified by
 * its position. Own work is the work that this entry has sent to the runners.
 */
public interface Candidates {

	/**
	 * Returns the number of candidates.
	 * @return the number, positive
	 */
	int size();

	/**
	 * Maps a uniform random number to a candidate in proportion to the candidates'
	 * capacities.
	 * @param uniform random number from 0 (inclusive) to 1 (exclusive)
	 * @return position of the candidate
	 */
	int sample(double uniform);

	/**
	 * Tells whether a candidate may receive new work.
	 * @param candidate position of the candidate
	 * @param uniform random number from 0 (inclusive) to 1 (exclusive). A candidate whose
	 * weight was lowered by failures is usable only if the number is below its weight; 0
	 * asks whether it is usable at any weight
	 * @return whether it may receive new work
	 */
	boolean usable(int candidate, double uniform);

	/**
	 * Returns the time that a token would take according to the last report alone.
	 * @param candidate position of the candidate
	 * @return time in seconds
	 */
	double reportedSeconds(int candidate);

	/**
	 * Returns the time that a token would wait for other work, estimated from the last
	 * report and from the own work sent and completed since it was observed.
	 * @param candidate position of the candidate
	 * @return time in seconds
	 */
	double estimatedSeconds(int candidate);

	/**
	 * Returns the own work in progress.
	 * @param candidate position of the candidate
	 * @return own work in weighted token positions, see {@link RunnerLoadEstimator}
	 */
	double outstanding(int candidate);

	/**
	 * Returns the prefill time that a cached prefix of the prompt saves, divided by the
	 * tokens of a typical reply.
	 * @param candidate position of the candidate
	 * @return time in seconds
	 */
	double prefixSavingsSeconds(int candidate);

	/**
	 * Returns candidates that may have a prefix of the prompt in their cache.
	 * @return positions of a few candidates, possibly none
	 */
	int[] prefixHolders();

}
