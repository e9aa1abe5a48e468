package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Draws two candidates and takes the one with the lower reported load. For comparison.
 */
public final class TwoChoicesChooser implements RunnerChooser {

	@Override
	public int choose(Choice choice, RandomGenerator random) {
		int first = Samples.draw(choice, random);
		int second = Samples.draw(choice, random);
		if (first == NONE || second == NONE) {
			return first;
		}
		return (choice.reportedSeconds(second) < choice.reportedSeconds(first)) ? second : first;
	}

}
