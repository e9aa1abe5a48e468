package io.bilberryvalve.policy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.LayerHolder;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.PathChooser;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.path.RunnerLoad;

/**
 * Estimates how many requests per second a template serves after some cards are lost,
 * both before any layer is loaded elsewhere and after spare cards and cards next to a gap
 * have loaded the lost layers. Overlapping ranges keep serving around a lost card but
 * leave less memory for requests; the estimate covers both effects. It draws the lost
 * cards with a fixed seed, so that all templates are compared under similar losses, and
 * fills the remaining cards of each data centre with typical requests until no path has
 * memory for another.
 */
final class LossEstimate {

	/**
	 * Fractions of the cards that are lost at once: one or two cards of a typical
	 * deployment, and as many as are lost in a bad half minute.
	 */
	private static final double[] LOST_FRACTIONS = { 0.026, 0.052, 0.103 };

	/**
	 * Sets of lost cards drawn for each fraction. More change the estimate by less than 3
	 * %.
	 */
	private static final int DRAWS = 40;

	private static final long SEED = 7;

	/**
	 * Number of repairs, which are made one after the other; later ones are too late for
	 * the callers.
	 */
	private static final int MAX_REPAIRS = 6;

	/**
	 * Number of steps in which the slots of a runner are filled; more only take longer.
	 */
	private static final int FILL_STEPS = 32;

	/**
	 * Longest time per token. A longer one makes streams late on all routes except those
	 * with the longest target gaps.
	 */
	private static final double MAX_TOKEN_MILLIS = 60;

	private static final double MILLIS_PER_SECOND = 1000;

	private final EngineProfile profile;

	private final RequestSize typical;

	private final PathChooser chooser;

	private final LayerAssigner assigner;

	private final GapFiller filler;

	private final List<Card> placed;

	private final Map<Set<Card>, Double> rates = new HashMap<>();

	/**
	 * Creates an estimate.
	 * @param profile performance of the engines
	 * @param template template to rate
	 * @param empty all cards, without layers
	 */
	LossEstimate(EngineProfile profile, LayerTemplate template, Collection<Card> empty) {
		this.profile = profile;
		this.typical = new RequestSize(profile.promptTokens(), profile.answerTokens());
		this.chooser = new PathChooser(profile);
		this.assigner = new LayerAssigner(template);
		this.filler = new GapFiller(profile, template);
		List<Card> cards = empty.stream().sorted(Comparator.comparing(Card::runner)).toList();
		this.placed = apply(cards, this.assigner.assign(cards));
	}

	/**
	 * Returns the throughput without losses.
	 * @return requests per second
	 */
	double intact() {
		return rate(this.placed);
	}

	/**
	 * Returns the remaining throughput, on average over all draws, before and after
	 * repairs.
	 * @param demand expected requests per second; throughput above it is not counted
	 * @return requests per second
	 */
	double remaining(double demand) {
		Random random = new Random(SEED);
		double sum = Math.min(demand, intact());
		int draws = 1;
		for (double fraction : LOST_FRACTIONS) {
			int lost = (int) Math.round(fraction * this.placed.size());
			for (int i = 0; i < DRAWS && lost > 0; i++) {
				List<Card> order = new ArrayList<>(this.placed);
				Collections.shuffle(order, random);
				List<Card> left = order.subList(lost, order.size());
				sum += Math.min(demand, rate(left)) + Math.min(demand, rate(repaired(left)));
				draws += 2;
			}
		}
		return sum / draws;
	}

	private List<Card> repaired(List<Card> left) {
		List<Card> now = left;
		for (int i = 0; i < MAX_REPAIRS; i++) {
			List<LayerAssigner.Assignment> moves = this.assigner.assign(now);
			if (moves.isEmpty()) {
				List<Card> cards = now;
				moves = this.assigner.incompleteDataCentres(now)
					.stream()
					.map((dataCentre) -> this.filler.fill(cards, dataCentre))
					.filter((filled) -> !filled.isEmpty())
					.findFirst()
					.orElse(List.of());
			}
			if (moves.isEmpty()) {
				return now;
			}
			now = apply(now, moves);
		}
		return now;
	}

	private static List<Card> apply(List<Card> cards, List<LayerAssigner.Assignment> moves) {
		Map<RunnerId, LayerRange> ranges = new HashMap<>();
		moves.forEach((move) -> ranges.put(move.card().runner(), move.range()));
		return cards.stream()
			.map((card) -> new Card(card.runner(), card.dataCentre(), card.kind(),
					ranges.getOrDefault(card.runner(), card.held()), false))
			.toList();
	}

	private double rate(List<Card> cards) {
		return cards.stream()
			.filter((card) -> card.held() != null)
			.collect(Collectors.groupingBy(Card::dataCentre, Collectors.toSet()))
			.values()
			.stream()
			.mapToDouble((here) -> this.rates.computeIfAbsent(here, this::rateOf))
			.sum();
	}

	private double rateOf(Set<Card> here) {
		List<LayerHolder> holders = new ArrayList<>();
		for (Card card : here) {
			LayerRange held = card.held();
			if (held != null) {
				holders.add(new LayerHolder(card.runner(), held, card.dataCentre(), card.kind(), 1));
			}
		}
		holders.sort(Comparator.comparing(LayerHolder::runner));
		return fill(holders);
	}

	private double fill(List<LayerHolder> left) {
		int step = Math.max(1, this.profile.slots() / FILL_STEPS);
		Map<RunnerId, RunnerLoad> loads = new HashMap<>();
		Function<RunnerId, RunnerLoad> load = (runner) -> loads.getOrDefault(runner, RunnerLoad.NONE);
		double rate = 0;
		Optional<LayerPath> path = this.chooser.choose(left, load::apply, this.typical, (runner) -> true);
		while (path.isPresent() && path.get().tokenMillis() <= MAX_TOKEN_MILLIS) {
			double residence = path.get().firstTokenMillis() + this.typical.answerTokens() * path.get().tokenMillis();
			rate += step * MILLIS_PER_SECOND / residence;
			for (LayerPath.Hop hop : path.get().hops()) {
				int entered = hop.runner().equals(path.get().firstRunner()) ? step : 0;
				long tokenLayers = (long) step * this.typical.totalTokens() * hop.layers().size();
				loads.merge(hop.runner(), new RunnerLoad(step, tokenLayers, entered, 0), RunnerLoad::plus);
			}
			path = this.chooser.choose(left, load::apply, this.typical, (runner) -> true);
		}
		return rate;
	}

}
