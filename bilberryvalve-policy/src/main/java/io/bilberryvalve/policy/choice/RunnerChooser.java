package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Load-balancing policy: decides which of several candidates receives a request.
 * Implementations are safe for use by several threads.
 */
@FunctionalInterface
public interface RunnerChooser {

	/** Result of {@link #choose} if no usable candidate was found. */
	int NONE = -1;

	/**
	 * Chooses a candidate.
	 * @param candidates candidates for one request
	 * @param random source of random numbers
	 * @return position of the candidate, or {@link #NONE}
	 */
	int choose(Candidates candidates, RandomGenerator random);

}
