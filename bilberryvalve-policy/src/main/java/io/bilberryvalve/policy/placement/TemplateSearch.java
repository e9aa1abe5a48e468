package io.bilberryvalve.policy.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.policy.path.Holder;
import io.bilberryvalve.policy.path.RequestSize;

/**
 * Finds the layer template with which the cards of a deployment serve most of the demand
 * while some of them are lost. Wide ranges overlap, so that paths lead around a lost
 * card, but leave less memory for requests; {@link LossEstimate} weighs the two for each
 * combination of widths, as {@link LayerAssigner} places them. Answers the load pattern
 * of cards that are lost one after the other, faster than their layers can be loaded
 * elsewhere.
 */
public final class TemplateSearch {

	/** Smallest memory that is tried, as a part of what the slots of a runner can use. */
	private static final double SMALLEST_PART = 0.08;

	/** Factor from one tried memory to the next. */
	private static final double NEXT_PART = 0.94;

	/**
	 * Demand as a part of what the cards could serve at most. Callers of today's
	 * deployments ask for a quarter to a half of it.
	 */
	private static final double DEMAND_PART = 0.5;

	private final EngineProfile profile;

	private final List<Card> cards;

	private final List<CardKind> kinds;

	private final RequestSize usual;

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
	}

	/**
	 * Searches widths with which all cards have memory for about the same number of
	 * tokens, for many such numbers and grids. Among those that serve the demand it takes
	 * the one that serves most of it after losses.
	 * @return the best template; without widths if no card holds a layer
	 */
	public LayerTemplate best() {
		Map<Map<String, Integer>, LossEstimate> estimates = new LinkedHashMap<>();
		for (Map<String, Integer> widths : candidates()) {
			estimates.put(widths, new LossEstimate(this.profile, holders(widths)));
		}
		double most = estimates.values().stream().mapToDouble(LossEstimate::intact).max().orElse(0);
		double demand = DEMAND_PART * most;
		LayerTemplate best = new LayerTemplate(this.profile.layers(), Map.of(), 0);
		for (Map.Entry<Map<String, Integer>, LossEstimate> estimate : estimates.entrySet()) {
			double left = (estimate.getValue().intact() >= demand) ? estimate.getValue().left(demand) : 0;
			if (left > best.requestsPerSecond()) {
				best = new LayerTemplate(this.profile.layers(), estimate.getKey(), left);
			}
		}
		return best;
	}

	private Set<Map<String, Integer>> candidates() {
		Set<Map<String, Integer>> candidates = new LinkedHashSet<>();
		double most = this.profile.slots() * this.usual.tokens();
		for (int unit = 1; unit <= this.profile.layers(); unit++) {
			for (double part = 1; this.profile.layers() % unit == 0 && part > SMALLEST_PART; part *= NEXT_PART) {
				candidates.add(widths(unit, part * most));
			}
		}
		candidates.remove(Map.of());
		return candidates;
	}

	private List<Holder> holders(Map<String, Integer> widths) {
		return new LayerAssigner(new LayerTemplate(this.profile.layers(), widths, 0)).assign(this.cards)
			.stream()
			.map(TemplateSearch::holder)
			.toList();
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

	private static Holder holder(LayerAssigner.Assignment assignment) {
		Card card = assignment.card();
		LayerRange range = assignment.range();
		return new Holder(card.runner(), range, card.dataCentre(), card.kind(), 1);
	}

}
