package io.bilberryvalve.policy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.Holder;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.PathChooser;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.path.RunnerLoad;

/**
 * Estimates how many requests per second a placement serves after it has lost some cards
 * and before any layer is loaded elsewhere. Ranges that overlap go on serving around a
 * lost card, at the price of memory; the estimate weighs both. It draws sets of lost
 * cards from a fixed seed, so that all placements meet like losses, and fills the
 * remaining cards of each data centre with usual requests until none has room. An
 * instance is for one placement.
 */
final class LossEstimate {

	/**
	 * Parts of the cards that are lost at once: one or two of today's fleets, and as many
	 * as leave in a bad half minute.
	 */
	private static final double[] LOST_PARTS = { 0.026, 0.052, 0.103 };

	/** Sets of lost cards for each part. More change the estimate by less than 3 %. */
	private static final int DRAWS = 40;

	private static final long SEED = 7;

	/** Steps in which the slots of a runner are filled; finer ones only take longer. */
	private static final int FILL_STEPS = 32;

	/**
	 * A token that takes longer makes a stream late on all but the most patient routes.
	 */
	private static final double SLOWEST_TOKEN_MILLIS = 60;

	private static final double MILLIS_PER_SECOND = 1000;

	private final EngineProfile profile;

	private final RequestSize usual;

	private final PathChooser chooser;

	private final Map<DataCentreId, List<Holder>> holders;

	private final List<RunnerId> cards;

	private final Map<Set<RunnerId>, Double> rates = new HashMap<>();

	/**
	 * Creates an estimate.
	 * @param profile the engines
	 * @param holders the placement
	 */
	LossEstimate(EngineProfile profile, Collection<Holder> holders) {
		this.profile = profile;
		this.usual = new RequestSize(profile.promptTokens(), profile.answerTokens());
		this.chooser = new PathChooser(profile);
		this.holders = holders.stream().collect(Collectors.groupingBy(Holder::dataCentre));
		this.cards = holders.stream().map(Holder::runner).sorted().toList();
	}

	/**
	 * Returns the throughput without losses.
	 * @return requests per second
	 */
	double intact() {
		return rate(Set.of());
	}

	/**
	 * Returns the throughput that is left on average over all draws.
	 * @param demand requests per second that are expected; more than that is not needed
	 * @return requests per second
	 */
	double left(double demand) {
		Random random = new Random(SEED);
		double sum = Math.min(demand, intact());
		int draws = 1;
		for (double part : LOST_PARTS) {
			int lost = (int) Math.round(part * this.cards.size());
			for (int i = 0; i < DRAWS && lost > 0; i++) {
				List<RunnerId> order = new ArrayList<>(this.cards);
				Collections.shuffle(order, random);
				sum += Math.min(demand, rate(Set.copyOf(order.subList(0, lost))));
				draws++;
			}
		}
		return sum / draws;
	}

	private double rate(Set<RunnerId> lost) {
		return this.holders.values().stream().mapToDouble((here) -> rateOf(here, lost)).sum();
	}

	// The same cards are left in a data centre after many draws.
	private double rateOf(List<Holder> here, Set<RunnerId> lost) {
		List<Holder> left = here.stream().filter((holder) -> !lost.contains(holder.runner())).toList();
		Set<RunnerId> key = left.stream().map(Holder::runner).collect(Collectors.toCollection(HashSet::new));
		return this.rates.computeIfAbsent(key, (same) -> fill(left));
	}

	private double fill(List<Holder> left) {
		int step = Math.max(1, this.profile.slots() / FILL_STEPS);
		Map<RunnerId, RunnerLoad> loads = new HashMap<>();
		Function<RunnerId, RunnerLoad> load = (runner) -> loads.getOrDefault(runner, RunnerLoad.NONE);
		double rate = 0;
		Optional<LayerPath> path = this.chooser.choose(left, load::apply, this.usual, (runner) -> true);
		while (path.isPresent() && path.get().tokenMillis() <= SLOWEST_TOKEN_MILLIS) {
			double residence = path.get().firstTokenMillis() + this.usual.answer() * path.get().tokenMillis();
			rate += step * MILLIS_PER_SECOND / residence;
			for (LayerPath.Hop hop : path.get().hops()) {
				int entered = hop.runner().equals(path.get().first()) ? step : 0;
				long tokenLayers = (long) step * this.usual.tokens() * hop.layers().size();
				loads.merge(hop.runner(), new RunnerLoad(step, tokenLayers, entered, 0), RunnerLoad::plus);
			}
			path = this.chooser.choose(left, load::apply, this.usual, (runner) -> true);
		}
		return rate;
	}

}
