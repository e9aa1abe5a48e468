package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Draws two candidates and chooses the one with the lower reported load (power of two
 * choices). Baseline for comparison with {@link EstimatedLoadChooser}.
 */
public final class TwoChoicesChooser implements RunnerChooser {

	@Override
	public int choose(Candidates candidates, RandomGenerator random) {
		int first = CandidateSampler.draw(candidates, random);
		int second = CandidateSampler.draw(candidates, random);
		if (first == NONE || second == NONE) {
			return first;
		}
		return (candidates.reportedSeconds(second) < candidates.reportedSeconds(first)) ? second : first;
	}

}
