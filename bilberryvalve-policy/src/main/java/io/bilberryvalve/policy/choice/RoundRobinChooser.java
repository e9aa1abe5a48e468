package io.bilberryvalve.policy.choice;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.random.RandomGenerator;

/**
 * Chooses the candidates in turn. Baseline for comparison with
 * {@link EstimatedLoadChooser}.
 */
public final class RoundRobinChooser implements RunnerChooser {

	private final AtomicInteger next = new AtomicInteger();

	@Override
	public int choose(Candidates candidates, RandomGenerator random) {
		int size = candidates.size();
		return (size > 0) ? CandidateSampler.scan(candidates, Math.floorMod(this.next.getAndIncrement(), size)) : NONE;
	}

}
