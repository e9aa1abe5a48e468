package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Decides which of several candidates receives a request. Implementations are safe for
 * use by several threads.
 */
@FunctionalInterface
public interface RunnerChooser {

	/** Result if no candidate is usable. */
	int NONE = -1;

	/**
	 * Chooses a candidate.
	 * @param choice the candidates
	 * @param random source of random numbers
	 * @return position of the candidate, or {@link #NONE}
	 */
	int choose(Candidates choice, RandomGenerator random);

}
