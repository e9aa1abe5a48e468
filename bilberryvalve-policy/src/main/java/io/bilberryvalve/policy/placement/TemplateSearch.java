package io.bilberryvalve.policy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.LayerHolder;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.LoadSource;
import io.bilberryvalve.policy.path.PathChooser;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.path.RunnerLoad;

/**
 * Finds the layer template for the cards of a deployment. It first looks for the highest
 * estimated throughput, and then widens the ranges so that they overlap: paths lead
 * around a lost card at once, and spare cards can take its layers. Answers the load
 * pattern of cards that are lost one after the other, faster than layers can be loaded.
 * For each combination of widths it lets {@link LayerAssigner} place the layers, takes
 * one path after the other out of the cards, and sums the requests per second of the
 * paths: memory bounds how many requests a path runs at once, the time of a token bounds
 * how long each stays, and links between data centres bound paths that cross them.
 */
public final class TemplateSearch {

	/** Smallest memory that is tried, as a part of what the slots of a runner can use. */
	private static final double MIN_CAPACITY_FRACTION = 0.08;

	/** Factor from one tried memory to the next. */
	private static final double CAPACITY_STEP_FACTOR = 0.94;

	/** Memory is planned to this part, since answers are longer or shorter than usual. */
	private static final double PLANNED_MEMORY_FRACTION = 0.85;

	/** Links are planned to this part, since transfers wait for each other. */
	private static final double PLANNED_LINK_FRACTION = 0.4;

	/**
	 * A token that takes longer makes a stream late on all but the most patient routes.
	 */
	private static final double MAX_TOKEN_MILLIS = 60;

	/**
	 * Part of the memory for requests that is kept when ranges are widened. Estimates
	 * over drawn losses serve most of half the highest throughput with 0.4 to 0.5.
	 */
	private static final double OVERLAP_CAPACITY_FRACTION = 0.5;

	/** Even boundaries let a spare card take the place of others without a remainder. */
	private static final int OVERLAP_GRID_LAYERS = 2;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Requests on each link that are assumed, so that paths within a data centre are
	 * taken first.
	 */
	private static final RunnerLoad ASSUMED_LINK_LOAD = new RunnerLoad(15, 0, 0, 0);

	private static final LoadSource BUSY_LINKS = (runner) -> runner.value().startsWith("link.") ? ASSUMED_LINK_LOAD
			: RunnerLoad.NONE;

	private final EngineProfile profile;

	private final List<Card> cards;

	private final List<CardKind> kinds;

	private final RequestSize typicalRequest;

	private final PathChooser chooser;

	/**
	 * Creates a search.
	 * @param profile the engines
	 * @param cards all cards; what they hold does not matter
	 */
	public TemplateSearch(EngineProfile profile, Collection<Card> cards) {
		this.profile = profile;
		this.cards = cards.stream()
			.map((card) -> new Card(card.runner(), card.dataCentre(), card.kind(), null, false))
			.toList();
		this.kinds = cards.stream().map(Card::kind).distinct().toList();
		this.typicalRequest = new RequestSize(profile.promptTokens(), profile.answerTokens());
		this.chooser = new PathChooser(profile);
	}

	/**
	 * Searches the widths for daily use.
	 * @return widths with which ranges overlap, if the cards have memory for that;
	 * without widths if no card holds a layer
	 */
	public LayerTemplate best() {
		LayerTemplate narrow = highestThroughput();
		double tokens = this.kinds.stream()
			.filter((kind) -> narrow.maxLayers(kind.name()) > 0)
			.mapToDouble((kind) -> this.profile.tokenCapacity(kind, narrow.maxLayers(kind.name())))
			.min()
			.orElse(0);
		int unit = (this.profile.layers() % OVERLAP_GRID_LAYERS == 0) ? OVERLAP_GRID_LAYERS : 1;
		LayerTemplate wide = new LayerTemplate(this.profile.layers(),
				maxLayersByKind(unit, OVERLAP_CAPACITY_FRACTION * tokens), 0);
		double rate = narrow.maxLayersByKind().isEmpty() ? 0 : throughput(wide);
		return (rate > 0) ? new LayerTemplate(this.profile.layers(), wide.maxLayersByKind(), rate) : narrow;
	}

	/**
	 * Searches widths with which all cards have memory for about the same number of
	 * tokens, for many such numbers and grids.
	 * @return the template with the highest throughput while no card is lost; without
	 * widths if no card holds a layer
	 */
	LayerTemplate highestThroughput() {
		LayerTemplate best = new LayerTemplate(this.profile.layers(), Map.of(), 0);
		double most = this.profile.slots() * this.typicalRequest.totalTokens();
		for (int unit = 1; unit <= this.profile.layers(); unit++) {
			if (this.profile.layers() % unit != 0) {
				continue;
			}
			for (double part = 1; part > MIN_CAPACITY_FRACTION; part *= CAPACITY_STEP_FACTOR) {
				best = better(maxLayersByKind(unit, part * most), best);
			}
		}
		return best;
	}

	private Map<String, Integer> maxLayersByKind(int unit, double tokens) {
		Map<String, Integer> widths = new HashMap<>();
		for (CardKind kind : this.kinds) {
			int width = 0;
			while (width < this.profile.layers() && this.profile.tokenCapacity(kind, width + unit) >= tokens) {
				width += unit;
			}
			if (width > 0) {
				widths.put(kind.name(), width);
			}
		}
		return widths;
	}

	private LayerTemplate better(Map<String, Integer> widths, LayerTemplate best) {
		LayerTemplate template = new LayerTemplate(this.profile.layers(), widths, 0);
		double rate = throughput(template);
		return (rate > best.requestsPerSecond()) ? new LayerTemplate(this.profile.layers(), widths, rate) : best;
	}

	private double throughput(LayerTemplate template) {
		Map<RunnerId, LayerHolder> left = new LayerAssigner(template).assign(this.cards)
			.stream()
			.map(TemplateSearch::holder)
			.collect(Collectors.toMap(LayerHolder::runner, (holder) -> holder));
		double sum = 0;
		while (true) {
			Optional<LayerPath> path = this.chooser.choose(new ArrayList<>(left.values()), BUSY_LINKS,
					this.typicalRequest, (runner) -> true);
			if (path.isEmpty()) {
				return sum;
			}
			List<LayerHolder> holders = path.get()
				.hops()
				.stream()
				.map((hop) -> toHop(left.remove(hop.runner()), hop))
				.toList();
			sum += throughput(holders);
		}
	}

	private static LayerHolder toHop(LayerHolder holder, LayerPath.Hop hop) {
		return new LayerHolder(holder.runner(), hop.layers(), holder.dataCentre(), holder.card(), holder.slowdown());
	}

	private static LayerHolder holder(LayerAssigner.Assignment assignment) {
		Card card = assignment.card();
		LayerRange range = assignment.range();
		return new LayerHolder(card.runner(), range, card.dataCentre(), card.kind(), 1);
	}

	private double throughput(List<LayerHolder> path) {
		double memory = Double.MAX_VALUE;
		for (LayerHolder holder : path) {
			memory = Math.min(memory, this.profile.tokenCapacity(holder.card(), holder.layers().size()));
		}
		double running = Math.min(memory * PLANNED_MEMORY_FRACTION / this.typicalRequest.totalTokens(),
				this.profile.slots());
		double tokenMillis = 0;
		double readMillis = 0;
		double pipeLimit = Double.MAX_VALUE;
		LayerHolder before = null;
		for (LayerHolder holder : path) {
			int held = holder.layers().size();
			double together = running / path.size();
			tokenMillis += this.profile.stepMillis(holder.card(), held, together,
					together * this.typicalRequest.totalTokens());
			readMillis += this.profile.prefillMillis(holder.card(), held, this.typicalRequest.promptTokens());
			if (before != null) {
				tokenMillis += this.profile.delayMillis(before.dataCentre(), holder.dataCentre());
				if (!before.dataCentre().equals(holder.dataCentre())) {
					double pipe = this.profile.linkTransferMillis(this.typicalRequest.totalTokens());
					pipeLimit = (pipe > 0) ? PLANNED_LINK_FRACTION * MILLIS_PER_SECOND / pipe : pipeLimit;
				}
			}
			before = holder;
		}
		if (tokenMillis > MAX_TOKEN_MILLIS) {
			return 0;
		}
		double residence = this.typicalRequest.answerTokens() * tokenMillis + readMillis;
		return Math.min(MILLIS_PER_SECOND * running / residence, pipeLimit);
	}

}
