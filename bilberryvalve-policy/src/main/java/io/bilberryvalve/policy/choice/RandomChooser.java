package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Chooses in proportion to capacity, without regard to load. For comparison.
 */
public final class RandomChooser implements RunnerChooser {

	@Override
	public int choose(Choice choice, RandomGenerator random) {
		return Samples.draw(choice, random);
	}

}
