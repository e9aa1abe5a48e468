package io.bilberryvalve.policy.choice;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/**
 * Chooses the candidates in turn. For comparison.
 */
public final class RoundRobinChooser implements RunnerChooser {

	private final AtomicInteger next = new AtomicInteger();

	@Override
	public int choose(Candidates choice, RandomGenerator random) {
		int size = choice.size();
		return (size > 0) ? CandidateSampler.scan(choice, Math.floorMod(this.next.getAndIncrement(), size)) : NONE;
	}

}
