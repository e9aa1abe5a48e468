package io.bilberryvalve.policy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Closes a gap in the layers of a data centre by one or two cards, so that the others go
 * on serving. A card takes the gap and keeps those of its layers that no other card
 * holds. A card that gives up no layer is preferred: the others load only after requests
 * in the layers that they give up have ended, which takes seconds.
 */
public final class GapFiller {

	/**
	 * A card with less than this part of the memory of the others would slow the whole
	 * copy.
	 */
	private static final double MIN_CAPACITY_FRACTION = 0.4;

	private final EngineProfile profile;

	private final LayerTemplate template;

	private final double minTokens;

	/**
	 * Creates a filler.
	 * @param profile the engines
	 * @param template widths with all cards
	 */
	public GapFiller(EngineProfile profile, LayerTemplate template) {
		this.profile = profile;
		this.template = template;
		this.minTokens = MIN_CAPACITY_FRACTION * template.maxLayersByKind()
			.entrySet()
			.stream()
			.filter((entry) -> profile.cards().containsKey(entry.getKey()))
			.mapToDouble((entry) -> profile.tokenCapacity(profile.cards().get(entry.getKey()), entry.getValue()))
			.min()
			.orElse(0);
	}

	/**
	 * Closes the first gap of a data centre.
	 * @param cards all cards that can be used
	 * @param dataCentre the data centre
	 * @return the changed assignments, empty if no card has memory for the gap
	 */
	public List<LayerAssigner.Assignment> fill(Collection<Card> cards, DataCentreId dataCentre) {
		Coverage coverage = new Coverage(this.profile.layers(), cards);
		Optional<LayerRange> gap = coverage.firstGap(dataCentre);
		if (gap.isEmpty()) {
			return List.of();
		}
		List<Card> here = cards.stream()
			.filter((card) -> card.dataCentre().equals(dataCentre) && card.held() != null && !card.busy())
			.toList();
		List<LayerAssigner.Assignment> both = extendBoth(here, gap.get());
		return both.isEmpty() ? moveOneCard(here, coverage, gap.get()) : both;
	}

	// The cards on both sides take about half each, or what their memory allows.
	private List<LayerAssigner.Assignment> extendBoth(List<Card> here, LayerRange gap) {
		Card left = cardWithMostRoom(here, (held) -> held.end() == gap.first());
		Card right = cardWithMostRoom(here, (held) -> held.first() == gap.end());
		int least = gap.size() - Math.min(gap.size(), extraLayers(left));
		int most = Math.min(gap.size(), extraLayers(right));
		if (least > most) {
			return List.of();
		}
		int border = gap.end() - Math.max(least, Math.min(most, gap.size() / 2));
		List<LayerAssigner.Assignment> result = new ArrayList<>();
		if (left != null && left.held() != null && border > gap.first()) {
			result.add(new LayerAssigner.Assignment(left, new LayerRange(left.held().first(), border)));
		}
		if (right != null && right.held() != null && border < gap.end()) {
			result.add(new LayerAssigner.Assignment(right, new LayerRange(border, right.held().end())));
		}
		return result;
	}

	private @Nullable Card cardWithMostRoom(List<Card> here, Predicate<LayerRange> beside) {
		return here.stream()
			.filter((card) -> card.held() != null && beside.test(card.held()))
			.max(Comparator.comparingInt(this::extraLayers))
			.orElse(null);
	}

	// Layers that a card can hold in addition.
	private int extraLayers(@Nullable Card card) {
		LayerRange held = (card != null) ? card.held() : null;
		int extra = 0;
		while (card != null && held != null && fits(card, held.size() + extra + 1)) {
			extra++;
		}
		return extra;
	}

	private boolean fits(Card card, int layers) {
		return this.template.maxLayers(card.kind().name()) > 0 && layers <= this.profile.layers()
				&& this.profile.tokenCapacity(card.kind(), layers) >= this.minTokens;
	}

	private List<LayerAssigner.Assignment> moveOneCard(List<Card> here, Coverage coverage, LayerRange gap) {
		return here.stream()
			.map((card) -> new LayerAssigner.Assignment(card, rangeOverGap(card, coverage, gap)))
			.filter((moved) -> fits(moved.card(), moved.range().size()))
			.min(Comparator.comparingInt(GapFiller::countDroppedLayers)
				.thenComparing((moved) -> -this.profile.tokenCapacity(moved.card().kind(), moved.range().size()))
				.thenComparing((moved) -> moved.card().runner()))
			.map(List::of)
			.orElse(List.of());
	}

	// The gap with the layers that only this card holds, and what lies between.
	private LayerRange rangeOverGap(Card card, Coverage coverage, LayerRange gap) {
		LayerRange held = card.held();
		if (held == null) {
			return gap;
		}
		int[] own = IntStream.range(held.first(), held.end())
			.filter((layer) -> coverage.minHolders(card.dataCentre(), new LayerRange(layer, layer + 1)) == 1)
			.toArray();
		if (own.length == 0) {
			return gap;
		}
		return new LayerRange(Math.min(own[0], gap.first()), Math.max(own[own.length - 1] + 1, gap.end()));
	}

	private static int countDroppedLayers(LayerAssigner.Assignment moved) {
		LayerRange held = moved.card().held();
		LayerRange range = moved.range();
		return (held != null) ? (int) IntStream.range(held.first(), held.end())
			.filter((layer) -> layer < range.first() || layer >= range.end())
			.count() : 0;
	}

}
