package io.bilberryvalve.policy.choice;

/**
 * The candidates for one request. A candidate is a runner or a chain, known by its
 * position.
 */
public interface Candidates {

	/**
	 * Returns the number of candidates.
	 * @return the number, positive
	 */
	int size();

	/**
	 * Maps a uniform number to a candidate in proportion to the candidates' capacities.
	 * @param uniform number from 0 (inclusive) to 1 (exclusive)
	 * @return position of the candidate
	 */
	int sample(double uniform);

	/**
	 * Tells whether a candidate may receive new work.
	 * @param candidate position of the candidate
	 * @param uniform number from 0 (inclusive) to 1 (exclusive); a candidate with a
	 * lowered weight is usable for the part of these numbers below its weight
	 * @return whether it may
	 */
	boolean usable(int candidate, double uniform);

	/**
	 * Returns the time that a token would take according to the last report alone.
	 * @param candidate position of the candidate
	 * @return time in seconds
	 */
	double reportedSeconds(int candidate);

	/**
	 * Returns the time that a token would wait for other work, according to the last
	 * report and the own work sent and completed since it was observed.
	 * @param candidate position of the candidate
	 * @return time in seconds
	 */
	double estimatedSeconds(int candidate);

	/**
	 * Returns the own work in progress.
	 * @param candidate position of the candidate
	 * @return own work, in token positions
	 */
	double outstanding(int candidate);

	/**
	 * Returns the prefill time that a cached prefix saves, for each token of the reply.
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
