package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Chooses at random in proportion to capacity, without regard to load. Baseline for
 * comparison with {@link EstimatedLoadChooser}.
 */
public final class RandomChooser implements RunnerChooser {

	@Override
	public int choose(Candidates candidates, RandomGenerator random) {
		return CandidateSampler.draw(candidates, random);
	}

}
