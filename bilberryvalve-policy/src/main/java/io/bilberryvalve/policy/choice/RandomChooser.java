package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Chooses in proportion to capacity, without regard to load. For comparison.
 */
public final class RandomChooser implements RunnerChooser {

	@Override
	public int choose(Candidates choice, RandomGenerator random) {
		return CandidateSampler.draw(choice, random);
	}

}
