package io.bilberryvalve.policy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Spreads the layers of a model over the remaining cards of a data centre that has lost
 * more than {@link GapFiller} can repair. Each card then holds more layers and has less
 * memory for requests. The cards keep their order along the model, so that most layers
 * stay where they are. The data centre serves nothing until the requests in the dropped
 * layers have ended and the new layers are loaded.
 */
public final class Rebalancer {

	/**
	 * Smallest fraction of the token capacity under the template that is accepted. With
	 * less, a copy serves too few requests to be worth the change.
	 */
	private static final double MIN_CAPACITY_FRACTION = 0.25;

	/** Factor between one tried token capacity and the next. */
	private static final double CAPACITY_STEP_FACTOR = 0.96;

	private final EngineProfile profile;

	private final LayerTemplate template;

	/**
	 * Creates a rebalancer.
	 * @param profile performance of the engines
	 * @param template template for all cards
	 */
	public Rebalancer(EngineProfile profile, LayerTemplate template) {
		this.profile = profile;
		this.template = template;
	}

	/**
	 * Distributes the layers over the cards of a data centre.
	 * @param cards all usable cards, also those of other data centres
	 * @param dataCentre data centre to rebalance
	 * @return the changed assignments, empty if its cards cannot hold the model or one of
	 * them is busy
	 */
	public List<LayerAssigner.Assignment> rebalance(Collection<Card> cards, DataCentreId dataCentre) {
		List<Card> here = cardsInOrder(cards, dataCentre);
		if (here.stream().anyMatch(Card::busy)) {
			return List.of();
		}
		double planned = templateTokens(here);
		for (double fraction = 1; fraction >= MIN_CAPACITY_FRACTION; fraction *= CAPACITY_STEP_FACTOR) {
			double tokens = planned * fraction;
			int sum = here.stream().mapToInt((card) -> maxLayers(card.kind(), tokens)).sum();
			if (sum >= this.profile.layers()) {
				return assign(here, tokens);
			}
		}
		return List.of();
	}

	private List<Card> cardsInOrder(Collection<Card> cards, DataCentreId dataCentre) {
		return cards.stream()
			.filter((card) -> card.dataCentre().equals(dataCentre) && this.template.maxLayers(card.kind().name()) > 0)
			.sorted(Comparator.comparingInt((Card card) -> firstLayer(card.held())).thenComparing(Card::runner))
			.toList();
	}

	private int firstLayer(@Nullable LayerRange held) {
		return (held != null) ? held.first() : this.profile.layers();
	}

	private double templateTokens(List<Card> here) {
		return here.stream()
			.mapToDouble((card) -> this.profile.tokenCapacity(card.kind(), this.template.maxLayers(card.kind().name())))
			.min()
			.orElse(0);
	}

	private int maxLayers(CardKind kind, double tokens) {
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
			int end = Math.min(this.profile.layers(), next + maxLayers(card.kind(), tokens));
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
