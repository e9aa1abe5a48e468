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
import io.bilberryvalve.policy.path.Holder;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.PathChooser;
import io.bilberryvalve.policy.path.PathLoads;
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
	private static final double SMALLEST_PART = 0.08;

	/** Factor from one tried memory to the next. */
	private static final double NEXT_PART = 0.94;

	/** Memory is planned to this part, since answers are longer or shorter than usual. */
	private static final double MEMORY_PART = 0.85;

	/** Links are planned to this part, since transfers wait for each other. */
	private static final double PIPE_PART = 0.4;

	/**
	 * A token that takes longer makes a stream late on all but the most patient routes.
	 */
	private static final double SLOWEST_TOKEN_MILLIS = 60;

	/**
	 * Part of the memory for requests that is kept when ranges are widened. Estimates
	 * over drawn losses serve most of half the highest throughput with 0.4 to 0.5.
	 */
	private static final double OVERLAP_PART = 0.5;

	/** Even boundaries let a spare card take the place of others without a remainder. */
	private static final int OVERLAP_GRID = 2;

	private static final double MILLIS_PER_SECOND = 1000;

	/**
	 * Requests on each link that are assumed, so that paths within a data centre are
	 * taken first.
	 */
	private static final RunnerLoad ON_LINK = new RunnerLoad(15, 0, 0, 0);

	private static final PathLoads BUSY_LINKS = (runner) -> runner.value().startsWith("link.") ? ON_LINK
			: RunnerLoad.NONE;

	private final EngineProfile profile;

	private final List<Card> cards;

	private final List<CardKind> kinds;

	private final RequestSize usual;

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
		this.usual = new RequestSize(profile.promptTokens(), profile.answerTokens());
		this.chooser = new PathChooser(profile);
	}

	/**
	 * Searches the widths for daily use.
	 * @return widths with which ranges overlap, if the cards have memory for that;
	 * without widths if no card holds a layer
	 */
	public LayerTemplate best() {
		LayerTemplate narrow = narrow();
		double tokens = this.kinds.stream()
			.filter((kind) -> narrow.width(kind.name()) > 0)
			.mapToDouble((kind) -> this.profile.tokenCapacity(kind, narrow.width(kind.name())))
			.min()
			.orElse(0);
		int unit = (this.profile.layers() % OVERLAP_GRID == 0) ? OVERLAP_GRID : 1;
		LayerTemplate wide = new LayerTemplate(this.profile.layers(), widths(unit, OVERLAP_PART * tokens), 0);
		double rate = narrow.widths().isEmpty() ? 0 : throughput(wide);
		return (rate > 0) ? new LayerTemplate(this.profile.layers(), wide.widths(), rate) : narrow;
	}

	/**
	 * Searches widths with which all cards have memory for about the same number of
	 * tokens, for many such numbers and grids.
	 * @return the template with the highest throughput while no card is lost; without
	 * widths if no card holds a layer
	 */
	LayerTemplate narrow() {
		LayerTemplate best = new LayerTemplate(this.profile.layers(), Map.of(), 0);
		double most = this.profile.slots() * this.usual.tokens();
		for (int unit = 1; unit <= this.profile.layers(); unit++) {
			if (this.profile.layers() % unit != 0) {
				continue;
			}
			for (double part = 1; part > SMALLEST_PART; part *= NEXT_PART) {
				best = better(widths(unit, part * most), best);
			}
		}
		return best;
	}

	private Map<String, Integer> widths(int unit, double tokens) {
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
		Map<RunnerId, Holder> left = new LayerAssigner(template).assign(this.cards)
			.stream()
			.map(TemplateSearch::holder)
			.collect(Collectors.toMap(Holder::runner, (holder) -> holder));
		double sum = 0;
		while (true) {
			Optional<LayerPath> path = this.chooser.choose(new ArrayList<>(left.values()), BUSY_LINKS, this.usual,
					(runner) -> true);
			if (path.isEmpty()) {
				return sum;
			}
			List<Holder> holders = path.get()
				.hops()
				.stream()
				.map((hop) -> part(left.remove(hop.runner()), hop))
				.toList();
			sum += throughput(holders);
		}
	}

	private static Holder part(Holder holder, LayerPath.Hop hop) {
		return new Holder(holder.runner(), hop.layers(), holder.dataCentre(), holder.card(), holder.slowness());
	}

	private static Holder holder(LayerAssigner.Assignment assignment) {
		Card card = assignment.card();
		LayerRange range = assignment.range();
		return new Holder(card.runner(), range, card.dataCentre(), card.kind(), 1);
	}

	private double throughput(List<Holder> path) {
		double memory = Double.MAX_VALUE;
		for (Holder holder : path) {
			memory = Math.min(memory, this.profile.tokenCapacity(holder.card(), holder.layers().size()));
		}
		double running = Math.min(memory * MEMORY_PART / this.usual.tokens(), this.profile.slots());
		double tokenMillis = 0;
		double readMillis = 0;
		double pipeLimit = Double.MAX_VALUE;
		Holder before = null;
		for (Holder holder : path) {
			int held = holder.layers().size();
			double together = running / path.size();
			tokenMillis += this.profile.stepMillis(holder.card(), held, together, together * this.usual.tokens());
			readMillis += this.profile.readMillis(holder.card(), held, this.usual.prompt());
			if (before != null) {
				tokenMillis += this.profile.delayMillis(before.dataCentre(), holder.dataCentre());
				if (!before.dataCentre().equals(holder.dataCentre())) {
					double pipe = this.profile.pipeMillis(this.usual.tokens());
					pipeLimit = (pipe > 0) ? PIPE_PART * MILLIS_PER_SECOND / pipe : pipeLimit;
				}
			}
			before = holder;
		}
		if (tokenMillis > SLOWEST_TOKEN_MILLIS) {
			return 0;
		}
		double residence = this.usual.answer() * tokenMillis + readMillis;
		return Math.min(MILLIS_PER_SECOND * running / residence, pipeLimit);
	}

}
