package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Chooses the candidate with the least own work in progress. It examines every candidate
 * and does not know the work of other entries. Baseline for comparison with
 * {@link EstimatedLoadChooser}.
 */
public final class LeastOutstandingChooser implements RunnerChooser {

	@Override
	public int choose(Candidates candidates, RandomGenerator random) {
		int best = NONE;
		int size = candidates.size();
		int start = (size > 0) ? random.nextInt(size) : 0;
		for (int i = 0; i < size; i++) {
			int candidate = (start + i) % size;
			boolean better = best == NONE || candidates.outstanding(candidate) < candidates.outstanding(best);
			if (better && candidates.usable(candidate, 0)) {
				best = candidate;
			}
		}
		return best;
	}

}
