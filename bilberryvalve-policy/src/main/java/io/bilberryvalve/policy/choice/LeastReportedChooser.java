package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Chooses the candidate with the lowest reported load of all. Several entries with the
 * same reports choose the same candidate, which is called herding. Baseline for
 * comparison with {@link EstimatedLoadChooser}.
 */
public final class LeastReportedChooser implements RunnerChooser {

	@Override
	public int choose(Candidates candidates, RandomGenerator random) {
		int best = NONE;
		for (int i = 0; i < candidates.size(); i++) {
			boolean better = best == NONE || candidates.reportedSeconds(i) < candidates.reportedSeconds(best);
			if (better && candidates.usable(i, 0)) {
				best = i;
			}
		}
		return best;
	}

}
