package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Chooses the candidate with the least own work in progress. It examines every candidate
 * and does not see the work of other entries. For comparison.
 */
public final class LeastOutstandingChooser implements RunnerChooser {

	@Override
	public int choose(Candidates choice, RandomGenerator random) {
		int best = NONE;
		int size = choice.size();
		int start = (size > 0) ? random.nextInt(size) : 0;
		for (int i = 0; i < size; i++) {
			int candidate = (start + i) % size;
			boolean better = best == NONE || choice.outstanding(candidate) < choice.outstanding(best);
			if (better && choice.usable(candidate, 0)) {
				best = candidate;
			}
		}
		return best;
	}

}
