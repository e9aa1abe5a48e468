package io.bilberryvalve.policy.chain;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bilberryvalve.model.RunnerId;

/**
 * Plans chains with prices that rise with the load of a runner (the multiplicative
 * weights method).
 * <p>
 * The rate of the {@link CapacityBound} is divided into equal portions. Each portion is
 * placed on the cheapest chain at the current prices, where the compute time of a runner
 * is multiplied by a factor that grows exponentially with its load. Then the oldest
 * portions are removed one by one and placed again, which corrects early decisions made
 * at low load. At the end, the rates of chains that use an overloaded runner are reduced,
 * and a {@link BoundaryChainPlanner} plans chains for the remaining capacity.
 * <p>
 * A plan that uses up whole runners one after the other leaves capacity unused on runners
 * for which no runners with the other layers are left. Prices avoid this by sharing
 * scarce runners among chains.
 */
public final class BalancedChainPlanner implements ChainPlanner {

	private static final int PORTIONS = 512;

	private static final int CORRECTIONS = 3 * PORTIONS;

	/** A fully loaded runner costs e to the power of this as much as an idle one. */
	private static final double PRICE_EXPONENT = 20;

	/** Fraction of the total rate below which a chain is dropped from the plan. */
	private static final double MIN_RATE_FRACTION = 0.0005;

	/** Remaining fraction of the capacity at which a runner counts as exhausted. */
	private static final double EXHAUSTED_FRACTION = 1e-6;

	private final ChainPlanner boundaryPlanner = new BoundaryChainPlanner();

	@Override
	public Optional<Chain> best(ModelShape model, Collection<Candidate> candidates, LinkTable links) {
		return this.boundaryPlanner.best(model, candidates, links);
	}

	@Override
	public List<Chain> plan(ModelShape model, Collection<Candidate> candidates, LinkTable links) {
		double bound = CapacityBound.tokensPerSecond(model.layers(), candidates);
		if (bound <= 0) {
			return List.of();
		}
		Loads loads = new Loads(candidates);
		Deque<List<Stage>> placed = new ArrayDeque<>();
		double portion = bound / PORTIONS;
		for (int i = 0; i < PORTIONS + CORRECTIONS; i++) {
			if (i >= PORTIONS) {
				loads.add(placed.removeFirst(), -portion);
			}
			Optional<Chain> cheapest = this.boundaryPlanner.best(model, loads.withPrices(), links);
			if (cheapest.isEmpty()) {
				return this.boundaryPlanner.plan(model, candidates, links);
			}
			placed.addLast(cheapest.get().stages());
			loads.add(cheapest.get().stages(), portion);
		}
		return finish(model, candidates, links, rates(placed, portion));
	}

	private List<Chain> finish(ModelShape model, Collection<Candidate> candidates, LinkTable links,
			Map<List<Stage>, Double> rates) {
		Loads loads = new Loads(candidates);
		rates.forEach(loads::add);
		Loads scaled = new Loads(candidates);
		rates.replaceAll((stages, rate) -> rate / Math.max(1, loads.highestUtilisation(stages)));
		rates.forEach(scaled::add);
		for (Chain extra : this.boundaryPlanner.plan(model, scaled.withRemainingCapacity(), links)) {
			rates.merge(withOriginalRunners(extra.stages(), candidates), extra.tokensPerSecond(), Double::sum);
		}
		double total = rates.values().stream().mapToDouble(Double::doubleValue).sum();
		List<Chain> chains = new ArrayList<>();
		rates.forEach((stages, rate) -> {
			if (rate >= total * MIN_RATE_FRACTION) {
				chains.add(new Chain(stages, seconds(model, candidates, links, stages), rate));
			}
		});
		chains.sort(Comparator.comparingDouble(Chain::seconds));
		return chains;
	}

	private static Map<List<Stage>, Double> rates(Collection<List<Stage>> placed, double portion) {
		Map<List<Stage>, Double> rates = new LinkedHashMap<>();
		placed.forEach((stages) -> rates.merge(stages, portion, Double::sum));
		return rates;
	}

	private static List<Stage> withOriginalRunners(List<Stage> stages, Collection<Candidate> candidates) {
		Map<RunnerId, Candidate> byId = byId(candidates);
		return stages.stream()
			.map((stage) -> new Stage(byId.get(stage.runner().id()).runner(), stage.layers()))
			.toList();
	}

	private static Map<RunnerId, Candidate> byId(Collection<Candidate> candidates) {
		Map<RunnerId, Candidate> byId = new HashMap<>();
		candidates.forEach((candidate) -> byId.put(candidate.runner().id(), candidate));
		return byId;
	}

	private static double seconds(ModelShape model, Collection<Candidate> candidates, LinkTable links,
			List<Stage> stages) {
		Map<RunnerId, Candidate> byId = byId(candidates);
		double seconds = 0;
		for (int i = 0; i < stages.size(); i++) {
			Stage stage = stages.get(i);
			seconds += byId.get(stage.runner().id()).seconds(stage.layers().size());
			if (i > 0) {
				seconds += links.seconds(stages.get(i - 1).runner().dataCentre(), stage.runner().dataCentre(),
						model.activationBytes());
			}
		}
		return seconds;
	}

	/**
	 * Load that the placed portions put on each runner, in layers per second.
	 */
	private static final class Loads {

		private final Collection<Candidate> candidates;

		private final Map<RunnerId, Candidate> byId;

		private final Map<RunnerId, Double> layers = new HashMap<>();

		Loads(Collection<Candidate> candidates) {
			this.candidates = candidates;
			this.byId = byId(candidates);
		}

		void add(List<Stage> stages, double tokensPerSecond) {
			for (Stage stage : stages) {
				this.layers.merge(stage.runner().id(), stage.layers().size() * tokensPerSecond, Double::sum);
			}
		}

		double highestUtilisation(List<Stage> stages) {
			double highest = 0;
			for (Stage stage : stages) {
				highest = Math.max(highest, utilisation(this.byId.get(stage.runner().id())));
			}
			return highest;
		}

		List<Candidate> withPrices() {
			return this.candidates.stream()
				.map((candidate) -> new Candidate(candidate.runner(),
						candidate.layersPerSecond() / Math.exp(PRICE_EXPONENT * utilisation(candidate)),
						candidate.queueSeconds()))
				.toList();
		}

		List<Candidate> withRemainingCapacity() {
			List<Candidate> left = new ArrayList<>();
			for (Candidate candidate : this.candidates) {
				double free = 1 - utilisation(candidate);
				if (free > EXHAUSTED_FRACTION) {
					left.add(new Candidate(candidate.runner(), candidate.layersPerSecond() * free,
							candidate.queueSeconds()));
				}
			}
			return left;
		}

		private double utilisation(Candidate candidate) {
			return this.layers.getOrDefault(candidate.runner().id(), 0.0) / candidate.layersPerSecond();
		}

	}

}
