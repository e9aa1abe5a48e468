package io.bilberryvalve.policy.choice;

import java.util.random.RandomGenerator;

/**
 * Draws a few candidates, adds those that may have a cached prefix of the prompt, and
 * chooses the one with the least expected time. The expected time is estimated from the
 * last report, which lags, and from the own work since then, less the prefill time that a
 * cached prefix saves. Since each decision examines only a few random candidates, entries
 * with the same reports do not all choose the same one. The time of a decision depends on
 * the number of candidates only through the time of a draw.
 */
public final class EstimatedLoadChooser implements RunnerChooser {

	private final int samples;

	/**
	 * Creates a chooser.
	 * @param samples number of candidates to draw for each request, at least 2
	 * @throws IllegalArgumentException if {@code samples} is below 2
	 */
	public EstimatedLoadChooser(int samples) {
		if (samples < 2) {
			throw new IllegalArgumentException("at least 2 samples are needed, not " + samples);
		}
		this.samples = samples;
	}

	@Override
	public int choose(Candidates candidates, RandomGenerator random) {
		int best = NONE;
		double bestSeconds = Double.MAX_VALUE;
		int[] prefixHolders = candidates.prefixHolders();
		for (int i = 0; i < this.samples + prefixHolders.length; i++) {
			int candidate = (i < this.samples) ? CandidateSampler.draw(candidates, random)
					: prefixHolders[i - this.samples];
			if (candidate == NONE || (i >= this.samples && !candidates.usable(candidate, random.nextDouble()))) {
				continue;
			}
			double seconds = candidates.estimatedSeconds(candidate) - candidates.prefixSavingsSeconds(candidate);
			if (seconds < bestSeconds) {
				best = candidate;
				bestSeconds = seconds;
			}
		}
		return best;
	}

}
