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
 * Closes a gap in the layers of a data centre by changing one or two cards, while the
 * others keep serving. A card loads the gap and keeps those of its layers that no other
 * card holds. A card that drops no layer is preferred: one that drops layers starts to
 * load only after the requests in these layers have ended, which takes seconds.
 */
public final class GapFiller {

	/**
	 * Fraction of the token capacity under the template that a card must keep. A card
	 * with less would slow the whole copy of the model.
	 */
	private static final double MIN_CAPACITY_FRACTION = 0.4;

	private final EngineProfile profile;

	private final LayerTemplate template;

	private final double minTokens;

	/**
	 * Creates a gap filler.
	 * @param profile performance of the engines
	 * @param template template for all cards
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
	 * @param cards all usable cards, also those of other data centres
	 * @param dataCentre data centre in which the gap is closed
	 * @return the changed assignments, empty if there is no gap or no card has memory for
	 * it
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
		List<LayerAssigner.Assignment> extended = extendBoth(here, gap.get());
		return extended.isEmpty() ? moveOneCard(here, coverage, gap.get()) : extended;
	}

	// The cards below and above the gap each load about half of it, or as much as their
	// memory allows.
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

	private @Nullable Card cardWithMostRoom(List<Card> here, Predicate<LayerRange> adjacent) {
		return here.stream()
			.filter((card) -> card.held() != null && adjacent.test(card.held()))
			.max(Comparator.comparingInt(this::extraLayers))
			.orElse(null);
	}

	// Number of layers that a card can hold in addition to its own.
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

	// The gap, the layers that only this card holds, and all layers in between.
	private LayerRange rangeOverGap(Card card, Coverage coverage, LayerRange gap) {
		LayerRange held = card.held();
		if (held == null) {
			return gap;
		}
		int[] sole = IntStream.range(held.first(), held.end())
			.filter((layer) -> coverage.minHolders(card.dataCentre(), new LayerRange(layer, layer + 1)) == 1)
			.toArray();
		if (sole.length == 0) {
			return gap;
		}
		return new LayerRange(Math.min(sole[0], gap.first()), Math.max(sole[sole.length - 1] + 1, gap.end()));
	}

	private static int countDroppedLayers(LayerAssigner.Assignment moved) {
		LayerRange held = moved.card().held();
		LayerRange range = moved.range();
		return (held != null) ? (int) IntStream.range(held.first(), held.end())
			.filter((layer) -> layer < range.first() || layer >= range.end())
			.count() : 0;
	}

}
