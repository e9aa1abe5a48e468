package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Draws two candidates and takes the one with the lower reported load. For comparison.
 */
public final class TwoChoicesChooser implements RunnerChooser {

	@Override
	public int choose(Candidates choice, RandomGenerator random) {
		int first = CandidateSampler.draw(choice, random);
		int second = CandidateSampler.draw(choice, random);
		if (first == NONE || second == NONE) {
			return first;
		}
		return (choice.reportedSeconds(second) < choice.reportedSeconds(first)) ? second : first;
	}

}
