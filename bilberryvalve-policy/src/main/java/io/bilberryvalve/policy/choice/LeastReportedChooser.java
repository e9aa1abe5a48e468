package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Chooses the candidate with the lowest reported load of all. Several entries with the
 * same reports choose the same candidate, which is called herding. For comparison.
 */
public final class LeastReportedChooser implements RunnerChooser {

	@Override
	public int choose(Candidates choice, RandomGenerator random) {
		int best = NONE;
		for (int i = 0; i < choice.size(); i++) {
			boolean better = best == NONE || choice.reportedSeconds(i) < choice.reportedSeconds(best);
			if (better && choice.usable(i, 0)) {
				best = i;
			}
		}
		return best;
	}

}
