package io.bilberryvalve.policy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;

/**
 * Decides which layers an empty card loads, and which card moves when layers have lost
 * their only holder. Cards fill the first gap in their data centre, the faster cards
 * first: links between data centres carry few prompts, so each data centre first gets a
 * whole copy of the model. The remaining cards hold the layers with the fewest holders
 * and move to gaps that appear later in their data centre.
 */
public final class LayerAssigner {

	private final LayerTemplate template;

	/**
	 * Creates an assigner.
	 * @param template most layers per card
	 */
	public LayerAssigner(LayerTemplate template) {
		this.template = template;
	}

	/**
	 * Assigns layers to the empty cards. If there are none, a spare card moves to a gap
	 * in its own data centre; data centres are tried in the order of their identifiers.
	 * @param cards all usable cards
	 * @return the new assignments, each for a card that is empty or has to move
	 */
	public List<Assignment> assign(Collection<Card> cards) {
		Coverage coverage = new Coverage(this.template.layers(), cards);
		List<Card> empty = cards.stream()
			.filter((card) -> card.held() == null && !card.busy() && this.template.maxLayers(card.kind().name()) > 0)
			.sorted(Comparator.comparingDouble((Card card) -> card.kind().stepFactor()).thenComparing(Card::runner))
			.toList();
		List<Assignment> result = new ArrayList<>();
		List<Card> remaining = new ArrayList<>();
		for (Card card : empty) {
			Optional<LayerRange> gap = coverage.firstGap(card.dataCentre());
			gap.ifPresent((run) -> result.add(assignFirst(card, run, coverage)));
			if (gap.isEmpty()) {
				remaining.add(card);
			}
		}
		remaining.forEach((card) -> result.add(assignFirst(card, coverage.leastHeld(card.dataCentre()), coverage)));
		if (result.isEmpty()) {
			moveSpareCard(cards, coverage).ifPresent(result::add);
		}
		return result;
	}

	/**
	 * Finds the data centres that lack layers.
	 * @param cards all usable cards
	 * @return data centres that have cards but not the whole model, ordered by the number
	 * of missing layers, fewest first
	 */
	public List<DataCentreId> incompleteDataCentres(Collection<Card> cards) {
		Coverage coverage = new Coverage(this.template.layers(), cards);
		return cards.stream()
			.map(Card::dataCentre)
			.distinct()
			.filter((dataCentre) -> coverage.missingLayers(dataCentre) > 0)
			.sorted(Comparator.comparingInt(coverage::missingLayers).thenComparing(Comparator.naturalOrder()))
			.toList();
	}

	private Assignment assignFirst(Card card, LayerRange run, Coverage coverage) {
		LayerRange range = truncate(card, run);
		coverage.add(card.dataCentre(), range, 1);
		return new Assignment(card, range);
	}

	private LayerRange truncate(Card card, LayerRange run) {
		int width = this.template.maxLayers(card.kind().name());
		return new LayerRange(run.first(), Math.min(run.end(), run.first() + width));
	}

	private Optional<Assignment> moveSpareCard(Collection<Card> cards, Coverage coverage) {
		List<DataCentreId> dataCentres = cards.stream().map(Card::dataCentre).distinct().sorted().toList();
		for (DataCentreId dataCentre : dataCentres) {
			Optional<LayerRange> gap = coverage.firstGap(dataCentre);
			Optional<Assignment> found = gap.flatMap((run) -> findSpareCard(cards, coverage, dataCentre, run));
			if (found.isPresent()) {
				return found;
			}
		}
		return Optional.empty();
	}

	// Finds a card all of whose layers are also held by others in its data centre. The
	// card that fills most of the gap is preferred, then the slowest one. Cards do not
	// close gaps of other data centres, since paths across links serve few requests.
	private Optional<Assignment> findSpareCard(Collection<Card> cards, Coverage coverage, DataCentreId dataCentre,
			LayerRange gap) {
		return cards.stream()
			.filter((card) -> card.dataCentre().equals(dataCentre) && this.template.maxLayers(card.kind().name()) > 0)
			.filter((card) -> isSpare(card, coverage))
			.min(Comparator.comparingInt((Card card) -> -truncate(card, gap).size())
				.thenComparingDouble((card) -> -card.kind().stepFactor())
				.thenComparing(Card::runner))
			.map((card) -> new Assignment(card, truncate(card, gap)));
	}

	private static boolean isSpare(Card card, Coverage coverage) {
		LayerRange held = card.held();
		return held != null && !card.busy() && coverage.minHolders(card.dataCentre(), held) > 1;
	}

	/**
	 * Layers that a card is to hold.
	 *
	 * @param card the card before the change
	 * @param range all layers that it is to hold
	 */
	public record Assignment(Card card, LayerRange range) {

	}

}
