package io.bilberryvalve.policy.chain;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;

/**
 * Immutable set of the planned chains of one model, with their rates and with the runners
 * that can replace a stage.
 */
public final class ChainSet {

	/** Largest number of replacements kept for each range of layers. */
	private static final int MAX_REPLACEMENTS = 16;

	private final List<Chain> chains;

	private final double[] cumulativeRates;

	private final Map<LayerRange, List<Candidate>> replacements;

	private final Map<RunnerId, Integer> firstChainByRunner = new HashMap<>();

	/**
	 * Creates a set.
	 * @param chains chains in order of the plan; {@link #sample} draws each in proportion
	 * to its tokens per second
	 * @param candidates runners that can replace a stage
	 */
	public ChainSet(List<Chain> chains, Collection<Candidate> candidates) {
		this.chains = List.copyOf(chains);
		this.cumulativeRates = new double[chains.size()];
		double sum = 0;
		for (int i = 0; i < this.cumulativeRates.length; i++) {
			sum += this.chains.get(i).tokensPerSecond();
			this.cumulativeRates[i] = sum;
			this.firstChainByRunner.putIfAbsent(this.chains.get(i).first().runner().id(), i);
		}
		this.replacements = replacements(this.chains, candidates);
	}

	/**
	 * Returns the number of chains.
	 * @return the number, 0 if the model cannot be served
	 */
	public int size() {
		return this.chains.size();
	}

	/**
	 * Returns a chain by its position.
	 * @param index position in the plan, from 0
	 * @return the chain at this position
	 */
	public Chain chain(int index) {
		return this.chains.get(index);
	}

	/**
	 * Returns all chains.
	 * @return the chains in order of the plan
	 */
	public List<Chain> chains() {
		return this.chains;
	}

	/**
	 * Returns the planned rate of all chains together.
	 * @return tokens per second
	 */
	public double tokensPerSecond() {
		return (this.cumulativeRates.length > 0) ? this.cumulativeRates[this.cumulativeRates.length - 1] : 0;
	}

	/**
	 * Maps a uniform random number to a chain, in proportion to the planned rates. The
	 * time grows with the logarithm of the number of chains.
	 * @param uniform random number from 0 (inclusive) to 1 (exclusive)
	 * @return position of the chain
	 * @throws IllegalStateException if the set is empty
	 */
	public int sample(double uniform) {
		if (this.chains.isEmpty()) {
			throw new IllegalStateException("no chain to choose from");
		}
		int found = Arrays.binarySearch(this.cumulativeRates, uniform * tokensPerSecond());
		return Math.min((found >= 0) ? found + 1 : -found - 1, this.chains.size() - 1);
	}

	/**
	 * Returns the first chain of the plan that starts at a runner.
	 * @param runner runner of the first stage
	 * @return position of the chain, or -1 if there is none
	 */
	public int startingAt(RunnerId runner) {
		return this.firstChainByRunner.getOrDefault(runner, -1);
	}

	/**
	 * Returns runners that hold the layers of a planned stage, the fastest first.
	 * @param layers layers of a stage of one of the chains
	 * @return at most 16 runners; empty for other layers
	 */
	public List<Candidate> replacements(LayerRange layers) {
		return this.replacements.getOrDefault(layers, List.of());
	}

	private static Map<LayerRange, List<Candidate>> replacements(List<Chain> chains, Collection<Candidate> candidates) {
		Map<LayerRange, List<Candidate>> map = new HashMap<>();
		for (Chain chain : chains) {
			for (Stage stage : chain.stages()) {
				map.computeIfAbsent(stage.layers(), (layers) -> holders(layers, candidates));
			}
		}
		return map;
	}

	private static List<Candidate> holders(LayerRange layers, Collection<Candidate> candidates) {
		List<Candidate> holders = new ArrayList<>();
		for (Candidate candidate : candidates) {
			if (candidate.runner().layers().contains(layers)) {
				holders.add(candidate);
			}
		}
		holders.sort(Comparator.comparingDouble((candidate) -> candidate.seconds(layers.size())));
		return List.copyOf(holders.subList(0, Math.min(MAX_REPLACEMENTS, holders.size())));
	}

}
