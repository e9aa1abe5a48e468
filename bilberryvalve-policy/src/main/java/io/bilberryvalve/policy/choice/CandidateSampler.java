package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Draws usable candidates.
 */
final class CandidateSampler {

	/** Draws that may hit candidates with a lowered weight. */
	private static final int MAX_DRAWS = 8;

	/** Candidates examined in order when the draws found none. */
	private static final int MAX_EXAMINED = 64;

	private CandidateSampler() {
	}

	/**
	 * Draws a usable candidate in proportion to capacity and weight.
	 * @param choice the candidates
	 * @param random source of random numbers
	 * @return position of the candidate, or {@link RunnerChooser#NONE}
	 */
	static int draw(Candidates choice, RandomGenerator random) {
		int size = choice.size();
		if (size == 0) {
			return RunnerChooser.NONE;
		}
		for (int i = 0; i < MAX_DRAWS; i++) {
			int candidate = choice.sample(random.nextDouble());
			if (choice.usable(candidate, random.nextDouble())) {
				return candidate;
			}
		}
		return scan(choice, random.nextInt(size));
	}

	/**
	 * Returns the first candidate that is usable at all.
	 * @param choice the candidates
	 * @param start position to start at
	 * @return position of the candidate, or {@link RunnerChooser#NONE}
	 */
	static int scan(Candidates choice, int start) {
		int size = choice.size();
		for (int i = 0; i < Math.min(size, MAX_EXAMINED); i++) {
			int candidate = (start + i) % size;
			if (choice.usable(candidate, 0)) {
				return candidate;
			}
		}
		return RunnerChooser.NONE;
	}

}
