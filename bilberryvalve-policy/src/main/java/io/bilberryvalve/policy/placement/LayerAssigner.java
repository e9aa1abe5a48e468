package io.bilberryvalve.policy.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;

/**
 * Decides which layers an empty card loads, and which card moves when some layers have no
 * holder left. Each card takes the range with the fewest holders in its data centre,
 * faster cards first: links between data centres carry few prompts, so each data centre
 * gets whole copies of the model first, and cards that are left over make copies across
 * data centres.
 */
public final class LayerAssigner {

	private final LayerTemplate template;

	/**
	 * Creates an assigner.
	 * @param template widths of the ranges
	 */
	public LayerAssigner(LayerTemplate template) {
		this.template = template;
	}

	/**
	 * Assigns ranges to the empty cards. If layers remain without a holder, the card
	 * whose range is held most often moves.
	 * @param cards all cards that can be used
	 * @return the new assignments, each for a card that is empty or has to move
	 */
	public List<Assignment> assign(Collection<Card> cards) {
		Coverage coverage = new Coverage(this.template.layers(), cards);
		List<Card> empty = cards.stream()
			.filter((card) -> card.held() == null)
			.sorted(Comparator.comparingDouble((Card card) -> card.kind().stepFactor()).thenComparing(Card::runner))
			.toList();
		List<Assignment> result = new ArrayList<>();
		for (Card card : empty) {
			leastCovered(card, coverage).ifPresent((range) -> {
				coverage.add(card.dataCentre(), range);
				result.add(new Assignment(card, range));
			});
		}
		if (result.isEmpty()) {
			move(cards, coverage).ifPresent(result::add);
		}
		return result;
	}

	private Optional<LayerRange> leastCovered(Card card, Coverage coverage) {
		DataCentreId here = card.dataCentre();
		return this.template.ranges(card.kind().name())
			.stream()
			.min(Comparator.comparingInt((LayerRange range) -> coverage.least(here, range))
				.thenComparingInt((range) -> coverage.sum(here, range))
				.thenComparingInt(coverage::sum)
				.thenComparing(Comparator.naturalOrder()));
	}

	// Moves a card that its data centre can spare to layers that lack a holder there.
	private Optional<Assignment> move(Collection<Card> cards, Coverage coverage) {
		Assignment best = null;
		double slowest = 0;
		for (Card card : cards) {
			LayerRange held = card.held();
			if (held == null || coverage.least(card.dataCentre(), held) < 2 || card.kind().stepFactor() <= slowest) {
				continue;
			}
			Optional<LayerRange> target = leastCovered(card, coverage);
			if (target.isPresent() && coverage.least(card.dataCentre(), target.get()) == 0) {
				slowest = card.kind().stepFactor();
				best = new Assignment(card, target.get());
			}
		}
		return Optional.ofNullable(best);
	}

	/**
	 * Layers for a card.
	 *
	 * @param card the card as it is now
	 * @param range the layers to load
	 */
	public record Assignment(Card card, LayerRange range) {

	}

	/** Number of holders of each layer, by data centre and in all. */
	private static final class Coverage {

		private final int[] all;

		private final Map<DataCentreId, int[]> byDataCentre = new HashMap<>();

		Coverage(int layers, Collection<Card> cards) {
			this.all = new int[layers];
			for (Card card : cards) {
				LayerRange held = card.held();
				if (held != null) {
					add(card.dataCentre(), held);
				}
			}
		}

		void add(DataCentreId dataCentre, LayerRange range) {
			int[] here = of(dataCentre);
			for (int layer = range.first(); layer < Math.min(range.end(), this.all.length); layer++) {
				here[layer]++;
				this.all[layer]++;
			}
		}

		private int[] of(DataCentreId dataCentre) {
			return this.byDataCentre.computeIfAbsent(dataCentre, (id) -> new int[this.all.length]);
		}

		int least(DataCentreId dataCentre, LayerRange range) {
			return IntStream.range(range.first(), Math.min(range.end(), this.all.length))
				.map((layer) -> of(dataCentre)[layer])
				.min()
				.orElse(0);
		}

		int sum(DataCentreId dataCentre, LayerRange range) {
			return sum(of(dataCentre), range);
		}

		int sum(LayerRange range) {
			return sum(this.all, range);
		}

		private static int sum(int[] holders, LayerRange range) {
			int sum = 0;
			for (int layer = range.first(); layer < Math.min(range.end(), holders.length); layer++) {
				sum += holders[layer];
			}
			return sum;
		}

	}

}
