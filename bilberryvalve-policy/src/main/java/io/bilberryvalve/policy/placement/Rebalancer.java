package io.bilberryvalve.policy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Spreads the layers of a model over the remaining cards of a data centre that has lost
 * some for good. A small gap is closed by the cards beside it, which keep what they hold
 * and load the rest at once. For a larger one each card holds more layers and has less
 * memory for requests; the order of the cards along the model stays, so that most layers
 * stay where they are, but cards load only after requests in the layers that they give up
 * have ended.
 */
public final class Rebalancer {

	/**
	 * Below this part of the usual memory, a copy serves too few requests to be worth it.
	 */
	private static final double LEAST_PART = 0.25;

	/**
	 * Below this part of the usual memory, cards beside a gap would slow the whole copy.
	 */
	private static final double LEAST_EXTENDED_PART = 0.4;

	/** Factor from one tried memory to the next. */
	private static final double NEXT_PART = 0.96;

	private final EngineProfile profile;

	private final LayerTemplate template;

	/**
	 * Creates a rebalancer.
	 * @param profile the engines
	 * @param template widths with all cards
	 */
	public Rebalancer(EngineProfile profile, LayerTemplate template) {
		this.profile = profile;
		this.template = template;
	}

	/**
	 * Rebalances a data centre.
	 * @param cards all cards that can be used
	 * @param dataCentre the data centre
	 * @return the changed assignments, empty if its cards cannot hold the model
	 */
	public List<LayerAssigner.Assignment> rebalance(Collection<Card> cards, DataCentreId dataCentre) {
		List<Card> here = here(cards, dataCentre);
		double usual = usualTokens(here);
		for (double part = 1; part >= LEAST_PART; part *= NEXT_PART) {
			double tokens = usual * part;
			int sum = here.stream().mapToInt((card) -> width(card.kind(), tokens)).sum();
			if (sum >= this.profile.layers()) {
				return assign(here, tokens);
			}
		}
		return List.of();
	}

	private List<Card> here(Collection<Card> cards, DataCentreId dataCentre) {
		return cards.stream()
			.filter((card) -> card.dataCentre().equals(dataCentre) && this.template.width(card.kind().name()) > 0)
			.sorted(Comparator.comparingInt((Card card) -> first(card.held())).thenComparing(Card::runner))
			.toList();
	}

	/**
	 * Closes the first gap of a data centre by the cards beside it, if their memory
	 * allows that. No card gives up layers, so this does not disturb requests.
	 * @param cards all cards that can be used
	 * @param dataCentre the data centre
	 * @return the changed assignments, empty if the gap is too large
	 */
	public List<LayerAssigner.Assignment> extend(Collection<Card> cards, DataCentreId dataCentre) {
		List<Card> here = here(cards, dataCentre);
		return extend(here, new Coverage(this.profile.layers(), cards), dataCentre,
				usualTokens(here) * LEAST_EXTENDED_PART);
	}

	// Both sides take about half, or what their memory allows.
	private List<LayerAssigner.Assignment> extend(List<Card> here, Coverage coverage, DataCentreId dataCentre,
			double tokens) {
		LayerRange gap = coverage.gap(dataCentre).orElse(null);
		if (gap == null) {
			return List.of();
		}
		Card left = roomiest(here, (held) -> held.end() == gap.first());
		Card right = roomiest(here, (held) -> held.first() == gap.end());
		int least = gap.size() - Math.min(gap.size(), extra(left, tokens));
		int most = Math.min(gap.size(), extra(right, tokens));
		if (least > most) {
			return List.of();
		}
		int border = gap.end() - Math.max(least, Math.min(most, gap.size() / 2));
		List<LayerAssigner.Assignment> result = new ArrayList<>();
		add(result, left, (held) -> new LayerRange(held.first(), border));
		add(result, right, (held) -> new LayerRange(border, held.end()));
		return result;
	}

	private static void add(List<LayerAssigner.Assignment> result, @Nullable Card card,
			UnaryOperator<LayerRange> change) {
		LayerRange held = (card != null) ? card.held() : null;
		if (card != null && held != null && !change.apply(held).equals(held)) {
			result.add(new LayerAssigner.Assignment(card, change.apply(held)));
		}
	}

	private @Nullable Card roomiest(List<Card> here, Predicate<LayerRange> beside) {
		return here.stream()
			.filter((card) -> card.held() != null && beside.test(card.held()))
			.max(Comparator.comparingInt((card) -> extra(card, 0)))
			.orElse(null);
	}

	// Layers that a card can hold in addition and keep memory for some tokens.
	private int extra(@Nullable Card card, double tokens) {
		LayerRange held = (card != null) ? card.held() : null;
		return (card != null && held != null) ? Math.max(0, width(card.kind(), Math.max(1, tokens)) - held.size()) : 0;
	}

	private int first(@Nullable LayerRange held) {
		return (held != null) ? held.first() : this.profile.layers();
	}

	private double usualTokens(List<Card> here) {
		return here.stream()
			.mapToDouble((card) -> this.profile.tokenCapacity(card.kind(), this.template.width(card.kind().name())))
			.min()
			.orElse(0);
	}

	private int width(CardKind kind, double tokens) {
		int width = 0;
		while (width < this.profile.layers() && this.profile.tokenCapacity(kind, width + 1) >= tokens) {
			width++;
		}
		return width;
	}

	private List<LayerAssigner.Assignment> assign(List<Card> here, double tokens) {
		List<LayerAssigner.Assignment> result = new ArrayList<>();
		int next = 0;
		for (Card card : here) {
			int end = Math.min(this.profile.layers(), next + width(card.kind(), tokens));
			if (end > next) {
				LayerRange range = new LayerRange(next, end);
				if (!range.equals(card.held())) {
					result.add(new LayerAssigner.Assignment(card, range));
				}
				next = end;
			}
		}
		return result;
	}

}
