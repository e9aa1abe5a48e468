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
 * Estimates how many requests per second a template serves after some cards are lost:
 * before any layer is loaded elsewhere, and after spare cards and those beside a gap have
 * taken the lost layers. Ranges that overlap go on serving around a lost card, at the
 * price of memory; the estimate weighs both. It draws sets of lost cards from a fixed
 * seed, so that all templates meet like losses, and fills the remaining cards of each
 * data centre with usual requests until none has room.
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

	/** Spare cards move one after the other; later ones are too late for the callers. */
	private static final int MOST_REPAIRS = 6;

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

	private final LayerAssigner assigner;

	private final GapFiller filler;

	private final List<Card> placed;

	private final Map<Set<Card>, Double> rates = new HashMap<>();

	/**
	 * Creates an estimate.
	 * @param profile the engines
	 * @param template the template
	 * @param empty all cards, without layers
	 */
	LossEstimate(EngineProfile profile, LayerTemplate template, Collection<Card> empty) {
		this.profile = profile;
		this.usual = new RequestSize(profile.promptTokens(), profile.answerTokens());
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
	 * Returns the throughput that is left on average over all draws, before and after
	 * repair.
	 * @param demand requests per second that are expected; more than that is not needed
	 * @return requests per second
	 */
	double left(double demand) {
		Random random = new Random(SEED);
		double sum = Math.min(demand, intact());
		int draws = 1;
		for (double part : LOST_PARTS) {
			int lost = (int) Math.round(part * this.placed.size());
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
		for (int i = 0; i < MOST_REPAIRS; i++) {
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
		Optional<LayerPath> path = this.chooser.choose(left, load::apply, this.usual, (runner) -> true);
		while (path.isPresent() && path.get().tokenMillis() <= SLOWEST_TOKEN_MILLIS) {
			double residence = path.get().firstTokenMillis() + this.usual.answerTokens() * path.get().tokenMillis();
			rate += step * MILLIS_PER_SECOND / residence;
			for (LayerPath.Hop hop : path.get().hops()) {
				int entered = hop.runner().equals(path.get().firstRunner()) ? step : 0;
				long tokenLayers = (long) step * this.usual.totalTokens() * hop.layers().size();
				loads.merge(hop.runner(), new RunnerLoad(step, tokenLayers, entered, 0), RunnerLoad::plus);
			}
			path = this.chooser.choose(left, load::apply, this.usual, (runner) -> true);
		}
		return rate;
	}

}
