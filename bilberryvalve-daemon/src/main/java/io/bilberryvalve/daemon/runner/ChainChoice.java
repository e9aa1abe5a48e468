package io.bilberryvalve.daemon.runner;

import java.util.List;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.ChainSet;
import io.bilberryvalve.policy.chain.Stage;
import io.bilberryvalve.policy.choice.Candidates;
import io.bilberryvalve.policy.choice.PrefixHash;

/**
 * The chains of a model as candidates for one request.
 */
final class ChainChoice implements Candidates {

	/**
	 * Part of the time that a token takes on idle runners that counts. It decides between
	 * idle chains. If it counted in full, every entry would prefer fast runners until
	 * they are overloaded; chains are drawn in proportion to their capacity anyway.
	 */
	private static final double OWN_PART = 0.01;

	/** Tokens of a typical reply, over which a saved prefill is spread. */
	private static final double TYPICAL_TOKENS = 64;

	private final RunnerFleet fleet;

	private final ChainSet set;

	private final RunnerSpeeds speeds;

	private final List<String> prefixes;

	ChainChoice(RunnerFleet fleet, ChainSet set, RunnerSpeeds speeds, List<String> prefixes) {
		this.fleet = fleet;
		this.set = set;
		this.speeds = speeds;
		this.prefixes = prefixes;
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
			if (this.fleet.leaving(runner)) {
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
			seconds += (this.fleet.loads().reportedPositions(stage.runner().id()) + 1) * secondsAlone(stage);
		}
		return seconds;
	}

	@Override
	public double estimatedSeconds(int candidate) {
		double seconds = 0;
		for (Stage stage : this.set.chain(candidate).stages()) {
			seconds += (this.fleet.loads().estimatedPositions(stage.runner().id()) + OWN_PART) * secondsAlone(stage);
		}
		return seconds;
	}

	@Override
	public double outstanding(int candidate) {
		double positions = 0;
		for (Stage stage : this.set.chain(candidate).stages()) {
			positions += this.fleet.loads().outstandingPositions(stage.runner().id());
		}
		return positions;
	}

	@Override
	public double prefixSavingsSeconds(int candidate) {
		if (this.prefixes.isEmpty()) {
			return 0;
		}
		Chain chain = this.set.chain(candidate);
		int blocks = this.prefixes.size();
		double secondsPerToken = 0;
		for (Stage stage : chain.stages()) {
			RunnerId runner = stage.runner().id();
			blocks = Math.min(blocks, this.fleet.prefixes().cachedBlocks(runner, this.prefixes));
			secondsPerToken += stage.layers().size() / this.speeds.prefill(runner);
		}
		return blocks * PrefixHash.BLOCK_WORDS * secondsPerToken / TYPICAL_TOKENS;
	}

	@Override
	public int[] prefixHolders() {
		for (int i = this.prefixes.size() - 1; i >= 0; i--) {
			for (RunnerId holder : this.fleet.prefixes().holders(this.prefixes.get(i))) {
				int chain = this.set.startingAt(holder);
				if (chain >= 0) {
					return new int[] { chain };
				}
			}
		}
		return new int[0];
	}

	private double secondsAlone(Stage stage) {
		return stage.layers().size() / this.speeds.decode(stage.runner().id());
	}

}
