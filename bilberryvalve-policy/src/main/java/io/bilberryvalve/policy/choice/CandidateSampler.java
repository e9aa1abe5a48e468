package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Draws usable candidates at random.
 */
public final class CandidateSampler {

	/** Number of random draws before the candidates are scanned in order. */
	private static final int MAX_DRAWS = 8;

	/** Largest number of candidates examined in a scan. */
	private static final int MAX_EXAMINED = 64;

	private CandidateSampler() {
	}

	/**
	 * Draws a usable candidate in proportion to capacity and health weight. If no draw
	 * finds one, scans from a random position.
	 * @param candidates candidates for one request
	 * @param random source of random numbers
	 * @return position of the candidate, or {@link RunnerChooser#NONE}
	 */
	static int draw(Candidates candidates, RandomGenerator random) {
		int size = candidates.size();
		if (size == 0) {
			return RunnerChooser.NONE;
		}
		for (int i = 0; i < MAX_DRAWS; i++) {
			int candidate = candidates.sample(random.nextDouble());
			if (candidates.usable(candidate, random.nextDouble())) {
				return candidate;
			}
		}
		return scan(candidates, random.nextInt(size));
	}

	/**
	 * Takes a few of some candidates, which are neighbours from a random position on.
	 * @param candidates positions of candidates
	 * @param limit largest number to take, positive
	 * @param random source of random numbers
	 * @return the candidates themselves if there are no more than the limit
	 */
	public static int[] few(int[] candidates, int limit, RandomGenerator random) {
		if (candidates.length <= limit) {
			return candidates;
		}
		int start = random.nextInt(candidates.length);
		int[] taken = new int[limit];
		for (int i = 0; i < limit; i++) {
			taken[i] = candidates[(start + i) % candidates.length];
		}
		return taken;
	}

	/**
	 * Returns the first candidate that is usable at any health weight.
	 * @param candidates candidates for one request
	 * @param start position at which the scan starts
	 * @return position of the candidate, or {@link RunnerChooser#NONE}
	 */
	static int scan(Candidates candidates, int start) {
		int size = candidates.size();
		for (int i = 0; i < Math.min(size, MAX_EXAMINED); i++) {
			int candidate = (start + i) % size;
			if (candidates.usable(candidate, 0)) {
				return candidate;
			}
		}
		return RunnerChooser.NONE;
	}

}
