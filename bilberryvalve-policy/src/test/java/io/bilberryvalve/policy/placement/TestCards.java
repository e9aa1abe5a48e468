package io.bilberryvalve.policy.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Cards of a deployment of typical size: one fast card, a few medium ones and many slow
 * ones, in three data centres.
 */
public final class TestCards {

	/** Number of layers of the model. */
	public static final int LAYERS = 80;

	/** Identifiers of the data centres. */
	public static final List<String> DATA_CENTRES = List.of("a", "b", "c");

	private TestCards() {
	}

	/**
	 * Returns the profile of the engines.
	 * @return profile with four kinds of cards and equal delays between all data centres
	 */
	public static EngineProfile profile() {
		Map<String, CardKind> kinds = new HashMap<>();
		kinds.put("large", new CardKind("large", 72000, 1.4, 1));
		kinds.put("medium", new CardKind("medium", 36000, 3.1, 3.2));
		kinds.put("small", new CardKind("small", 21600, 16, 8.2));
		kinds.put("tiny", new CardKind("tiny", 14400, 15, 15));
		Map<EngineProfile.DataCentreLink, Double> links = new HashMap<>();
		for (String from : DATA_CENTRES) {
			for (String to : DATA_CENTRES) {
				links.put(new EngineProfile.DataCentreLink(new DataCentreId(from), new DataCentreId(to)), 0.42);
			}
		}
		return new EngineProfile(134, LAYERS, 1750, 845373, 0.85, 0.0055, 0.0073, 196, 2, 772, 172, 42268, 9000, 14,
				kinds, links);
	}

	/**
	 * Returns all cards, without layers.
	 * @return 39 cards
	 */
	public static List<Card> all() {
		List<Card> cards = new ArrayList<>();
		add(cards, "b", "large", 1);
		add(cards, "a", "medium", 2);
		add(cards, "b", "medium", 1);
		add(cards, "c", "medium", 1);
		add(cards, "a", "small", 4);
		add(cards, "b", "small", 5);
		add(cards, "c", "small", 8);
		add(cards, "a", "tiny", 7);
		add(cards, "b", "tiny", 7);
		add(cards, "c", "tiny", 3);
		return cards;
	}

	private static void add(List<Card> cards, String dataCentre, String kind, int count) {
		for (int i = 0; i < count; i++) {
			RunnerId runner = new RunnerId(dataCentre + "-" + kind + "-" + i);
			cards.add(new Card(runner, new DataCentreId(dataCentre), profile().cards().get(kind), null, false));
		}
	}

	/**
	 * Applies assignments to cards.
	 * @param cards cards before the assignments
	 * @param assignments new layers of some of these cards
	 * @return all cards with their new layers, none of them busy
	 */
	public static List<Card> apply(List<Card> cards, List<LayerAssigner.Assignment> assignments) {
		Map<RunnerId, LayerRange> ranges = new HashMap<>();
		assignments.forEach((assignment) -> ranges.put(assignment.card().runner(), assignment.range()));
		return cards.stream().map((card) -> with(card, ranges.getOrDefault(card.runner(), card.held()))).toList();
	}

	private static Card with(Card card, @Nullable LayerRange range) {
		return new Card(card.runner(), card.dataCentre(), card.kind(), range, false);
	}

	/**
	 * Counts the whole copies of the model in a data centre.
	 * @param cards cards with their layers
	 * @param dataCentre identifier of the data centre
	 * @return number of holders of the layer that has the fewest there
	 */
	public static int copies(List<Card> cards, String dataCentre) {
		return new Coverage(LAYERS, cards).minHolders(new DataCentreId(dataCentre), new LayerRange(0, LAYERS));
	}

}
