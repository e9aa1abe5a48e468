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
 * Finds the layer template for the cards of a deployment. The search first looks for the
 * highest estimated throughput and then widens the ranges so that they overlap. With
 * overlapping ranges, paths avoid a lost card at once, and spare cards can take over its
 * layers. This is meant for cards that are lost one after the other, faster than layers
 * can be loaded. To rate a template, the search lets {@link LayerAssigner} place the
 * layers, removes one path after the other from the cards, and sums the requests per
 * second of the paths. Memory limits how many requests a path runs at once, the time per
 * token determines how long each of them stays, and the links between data centres limit
 * the paths that cross them.
 */
public final class TemplateSearch {

	/**
	 * Smallest token capacity that is tried, as a fraction of what the slots of a runner
	 * can use.
	 */
	private static final double MIN_CAPACITY_FRACTION = 0.08;

	/** Factor between one tried token capacity and the next. */
	private static final double CAPACITY_STEP_FACTOR = 0.94;

	/** Fraction of the memory that is planned, since the lengths of answers vary. */
	private static final double PLANNED_MEMORY_FRACTION = 0.85;

	/**
	 * Fraction of the bandwidth of a link that is planned, since transfers wait for each
	 * other.
	 */
	private static final double PLANNED_LINK_FRACTION = 0.4;

	/**
	 * Longest time per token. A longer one makes streams late on all routes except those
	 * with the longest target gaps.
	 */
	private static final double MAX_TOKEN_MILLIS = 60;

	/**
	 * Fraction of the token capacity that remains when ranges are widened. In estimates
	 * over random losses of cards, with a demand of half the highest throughput, values
	 * from 0.4 to 0.5 serve the most requests.
	 */
	private static final double OVERLAP_CAPACITY_FRACTION = 0.5;

	/**
	 * Ranges start and end at multiples of this, so that a spare card can replace others
	 * without layers left over.
	 */
	private static final int OVERLAP_GRID_LAYERS = 2;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Load that is assumed on each link, so that paths within a data centre are taken
	 * first.
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
	 * @param profile performance of the engines
	 * @param cards all cards; the layers that they hold now are ignored
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
	 * Finds the template to use.
	 * @return a template with overlapping ranges if the cards have memory for that,
	 * otherwise the one with the highest throughput; without kinds if no card can hold a
	 * layer
	 */
	public LayerTemplate best() {
		LayerTemplate fastest = highestThroughput();
		double tokens = this.kinds.stream()
			.filter((kind) -> fastest.maxLayers(kind.name()) > 0)
			.mapToDouble((kind) -> this.profile.tokenCapacity(kind, fastest.maxLayers(kind.name())))
			.min()
			.orElse(0);
		int grid = (this.profile.layers() % OVERLAP_GRID_LAYERS == 0) ? OVERLAP_GRID_LAYERS : 1;
		LayerTemplate overlapping = new LayerTemplate(this.profile.layers(),
				maxLayersByKind(grid, OVERLAP_CAPACITY_FRACTION * tokens), 0);
		double rate = fastest.maxLayersByKind().isEmpty() ? 0 : throughput(overlapping);
		return (rate > 0) ? new LayerTemplate(this.profile.layers(), overlapping.maxLayersByKind(), rate) : fastest;
	}

	/**
	 * Tries templates under which all cards have memory for about the same number of
	 * tokens, for many such numbers and many grids of range boundaries.
	 * @return the template with the highest throughput while no card is lost; without
	 * kinds if no card can hold a layer
	 */
	LayerTemplate highestThroughput() {
		LayerTemplate best = new LayerTemplate(this.profile.layers(), Map.of(), 0);
		double mostTokens = this.profile.slots() * this.typicalRequest.totalTokens();
		for (int grid = 1; grid <= this.profile.layers(); grid++) {
			if (this.profile.layers() % grid != 0) {
				continue;
			}
			for (double fraction = 1; fraction > MIN_CAPACITY_FRACTION; fraction *= CAPACITY_STEP_FACTOR) {
				best = better(maxLayersByKind(grid, fraction * mostTokens), best);
			}
		}
		return best;
	}

	private Map<String, Integer> maxLayersByKind(int grid, double tokens) {
		Map<String, Integer> widths = new HashMap<>();
		for (CardKind kind : this.kinds) {
			int width = 0;
			while (width < this.profile.layers() && this.profile.tokenCapacity(kind, width + grid) >= tokens) {
				width += grid;
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
		Map<RunnerId, LayerHolder> remaining = new LayerAssigner(template).assign(this.cards)
			.stream()
			.map(TemplateSearch::holder)
			.collect(Collectors.toMap(LayerHolder::runner, (holder) -> holder));
		double sum = 0;
		while (true) {
			Optional<LayerPath> path = this.chooser.choose(new ArrayList<>(remaining.values()), BUSY_LINKS,
					this.typicalRequest, (runner) -> true);
			if (path.isEmpty()) {
				return sum;
			}
			List<LayerHolder> holders = path.get()
				.hops()
				.stream()
				.map((hop) -> toHop(remaining.remove(hop.runner()), hop))
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
		double prefillMillis = 0;
		double linkLimit = Double.MAX_VALUE;
		LayerHolder before = null;
		for (LayerHolder holder : path) {
			int layers = holder.layers().size();
			double batch = running / path.size();
			tokenMillis += this.profile.stepMillis(holder.card(), layers, batch,
					batch * this.typicalRequest.totalTokens());
			prefillMillis += this.profile.prefillMillis(holder.card(), layers, this.typicalRequest.promptTokens());
			if (before != null) {
				tokenMillis += this.profile.delayMillis(before.dataCentre(), holder.dataCentre());
				if (!before.dataCentre().equals(holder.dataCentre())) {
					double transferMillis = this.profile.linkTransferMillis(this.typicalRequest.totalTokens());
					linkLimit = (transferMillis > 0) ? PLANNED_LINK_FRACTION * MILLIS_PER_SECOND / transferMillis
							: linkLimit;
				}
			}
			before = holder;
		}
		if (tokenMillis > MAX_TOKEN_MILLIS) {
			return 0;
		}
		double residence = this.typicalRequest.answerTokens() * tokenMillis + prefillMillis;
		return Math.min(MILLIS_PER_SECOND * running / residence, linkLimit);
	}

}
