package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Draws a few candidates, adds those with a cached prefix, and takes the one with the
 * least expected time. The expected time combines the lagging report with the own work
 * since then, less the prefill time that a cached prefix saves. Since each decision looks
 * at a few drawn candidates, entries with the same reports do not all choose the same
 * one. The time of a decision does not depend on the number of candidates beyond that of
 * a draw.
 */
public final class EstimatedLoadChooser implements RunnerChooser {

	private final int samples;

	/**
	 * Creates a chooser.
	 * @param samples number of candidates to draw, at least 2
	 * @throws IllegalArgumentException if the number is below 2
	 */
	public EstimatedLoadChooser(int samples) {
		if (samples < 2) {
			throw new IllegalArgumentException("at least 2 samples are needed, not " + samples);
		}
		this.samples = samples;
	}

	@Override
	public int choose(Candidates choice, RandomGenerator random) {
		int best = NONE;
		double bestSeconds = Double.MAX_VALUE;
		int[] preferred = choice.prefixHolders();
		for (int i = 0; i < this.samples + preferred.length; i++) {
			int candidate = (i < this.samples) ? CandidateSampler.draw(choice, random) : preferred[i - this.samples];
			if (candidate == NONE || (i >= this.samples && !choice.usable(candidate, random.nextDouble()))) {
				continue;
			}
			double seconds = choice.estimatedSeconds(candidate) - choice.prefixSavingsSeconds(candidate);
			if (seconds < bestSeconds) {
				best = candidate;
				bestSeconds = seconds;
			}
		}
		return best;
	}

}
