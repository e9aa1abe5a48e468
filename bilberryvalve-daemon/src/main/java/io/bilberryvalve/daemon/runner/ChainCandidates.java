package io.bilberryvalve.daemon.runner;

import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.ChainSet;
import io.bilberryvalve.policy.chain.Stage;
import io.bilberryvalve.policy.choice.CandidateSampler;
import io.bilberryvalve.policy.choice.Candidates;
import io.bilberryvalve.policy.choice.LoadReport;
import io.bilberryvalve.policy.choice.PrefixHash;

/**
 * Presents the planned chains of a model as the candidates for one request. A candidate
 * is known by its position in the {@link ChainSet}.
 */
final class ChainCandidates implements Candidates {

	/**
	 * Weight of the position that the request itself adds to the load of a runner. It
	 * only serves to prefer the faster one of two idle chains. With the full weight of 1,
	 * every entry would prefer the fast runners until they are overloaded; chains are
	 * sampled in proportion to their capacity anyway.
	 */
	private static final double OWN_POSITION_WEIGHT = 0.01;

	/**
	 * Length of a typical reply in tokens, over which the saved prefill time is spread.
	 */
	private static final double TYPICAL_REPLY_TOKENS = 64;

	/** Largest number of holders of a prefix that are weighed for a request. */
	private static final int MAX_PREFIX_HOLDERS = 3;

	private final RunnerFleet fleet;

	private final ChainSet set;

	private final RunnerSpeeds speeds;

	private final List<String> prefixHashes;

	ChainCandidates(RunnerFleet fleet, ChainSet set, RunnerSpeeds speeds, List<String> prefixes) {
		this.fleet = fleet;
		this.set = set;
		this.speeds = speeds;
		this.prefixHashes = prefixes;
	}

	@Override
	public int size() {
		return this.set.size();
	}

	@Override
	public int sample(double uniform) {
		return this.set.sample(uniform);
	}

	@Override
	public boolean usable(int candidate, double uniform) {
		double weight = 1;
		for (Stage stage : this.set.chain(candidate).stages()) {
			RunnerId runner = stage.runner().id();
			if (this.fleet.isLeaving(runner)) {
				return false;
			}
			weight = Math.min(weight, this.fleet.health().weight(runner));
		}
		return uniform < weight || uniform == 0;
	}

	@Override
	public double reportedSeconds(int candidate) {
		double seconds = 0;
		for (Stage stage : this.set.chain(candidate).stages()) {
			seconds += (this.fleet.loadEstimator().reportedPositions(stage.runner().id()) + 1) * idleSeconds(stage);
		}
		return seconds;
	}

	@Override
	public double estimatedSeconds(int candidate) {
		double seconds = 0;
		for (Stage stage : this.set.chain(candidate).stages()) {
			seconds += (this.fleet.loadEstimator().estimatedPositions(stage.runner().id()) + OWN_POSITION_WEIGHT)
					* idleSeconds(stage);
		}
		return seconds;
	}

	@Override
	public double outstanding(int candidate) {
		double positions = 0;
		for (Stage stage : this.set.chain(candidate).stages()) {
			positions += this.fleet.loadEstimator().outstandingPositions(stage.runner().id());
		}
		return positions;
	}

	@Override
	public double prefixSavingsSeconds(int candidate) {
		if (this.prefixHashes.isEmpty()) {
			return 0;
		}
		Chain chain = this.set.chain(candidate);
		double blocks = this.prefixHashes.size();
		double secondsPerToken = 0;
		for (Stage stage : chain.stages()) {
			RunnerId runner = stage.runner().id();
			blocks = Math.min(blocks,
					this.fleet.prefixes().cachedBlocks(runner, this.prefixHashes, freeFraction(runner)));
			secondsPerToken += stage.layers().size() / this.speeds.prefillLayersPerSecond(runner);
		}
		return blocks * PrefixHash.BLOCK_WORDS * secondsPerToken / TYPICAL_REPLY_TOKENS;
	}

	private double freeFraction(RunnerId runner) {
		return this.fleet.loadEstimator().lastReport(runner).map(LoadReport::kvFreeFraction).orElse(1.0);
	}

	// The first runners found differ between requests, so that a prefix that many prompts
	// begin with does not occupy the same chain.
	@Override
	public int[] prefixHolders() {
		for (int i = this.prefixHashes.size() - 1; i >= 0; i--) {
			int[] chains = this.fleet.prefixes()
				.holders(this.prefixHashes.get(i))
				.stream()
				.mapToInt(this.set::startingAt)
				.filter((chain) -> chain >= 0)
				.toArray();
			if (chains.length > 0) {
				return CandidateSampler.few(chains, MAX_PREFIX_HOLDERS, ThreadLocalRandom.current());
			}
		}
		return new int[0];
	}

	private double idleSeconds(Stage stage) {
		return stage.layers().size() / this.speeds.decodeLayersPerSecond(stage.runner().id());
	}

}
