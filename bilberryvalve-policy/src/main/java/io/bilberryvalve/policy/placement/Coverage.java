package io.bilberryvalve.policy.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;

/**
 * Number of holders of each layer, by data centre and in all.
 */
final class Coverage {

	private final int[] all;

	private final Map<DataCentreId, int[]> byDataCentre = new HashMap<>();

	Coverage(int layers, Collection<Card> cards) {
		this.all = new int[layers];
		for (Card card : cards) {
			dataCentreCounts(card.dataCentre());
			LayerRange held = card.held();
			if (held != null) {
				add(card.dataCentre(), held, 1);
			}
		}
	}

	/**
	 * Counts a holder.
	 * @param dataCentre where it stands
	 * @param range what it holds
	 * @param change 1 to add the holder, -1 to remove it
	 */
	void add(DataCentreId dataCentre, LayerRange range, int change) {
		int[] here = dataCentreCounts(dataCentre);
		for (int layer = range.first(); layer < Math.min(range.end(), this.all.length); layer++) {
			here[layer] += change;
			this.all[layer] += change;
		}
	}

	private int[] dataCentreCounts(DataCentreId dataCentre) {
		return this.byDataCentre.computeIfAbsent(dataCentre, (id) -> new int[this.all.length]);
	}

	/**
	 * Returns the least number of holders of a layer in a range.
	 * @param dataCentre where the holders stand
	 * @param range the range
	 * @return number of holders
	 */
	int minHolders(DataCentreId dataCentre, LayerRange range) {
		int[] here = dataCentreCounts(dataCentre);
		return IntStream.range(range.first(), Math.min(range.end(), here.length))
			.map((layer) -> here[layer])
			.min()
			.orElse(0);
	}

	/**
	 * Counts layers without a holder in a data centre.
	 * @param dataCentre the data centre
	 * @return number of layers
	 */
	int missingLayers(DataCentreId dataCentre) {
		return (int) IntStream.of(dataCentreCounts(dataCentre)).filter((holders) -> holders == 0).count();
	}

	/**
	 * Finds layers without a holder in a data centre.
	 * @param dataCentre the data centre
	 * @return the first gap, or empty
	 */
	Optional<LayerRange> firstGap(DataCentreId dataCentre) {
		int[] here = dataCentreCounts(dataCentre);
		return IntStream.range(0, here.length)
			.filter((layer) -> here[layer] == 0)
			.mapToObj((layer) -> run(here, layer))
			.findFirst();
	}

	/**
	 * Finds the layers that are held least: first in the data centre, then in all.
	 * @param dataCentre the data centre
	 * @return layers that all have the same number of holders
	 */
	LayerRange leastHeld(DataCentreId dataCentre) {
		int[] here = dataCentreCounts(dataCentre);
		int best = 0;
		for (int layer = 1; layer < here.length; layer++) {
			boolean thinner = here[layer] < here[best]
					|| (here[layer] == here[best] && here[best] > 0 && this.all[layer] < this.all[best]);
			best = thinner ? layer : best;
		}
		return run(here, best);
	}

	// Extends a run to the right while the number of holders stays the same.
	private LayerRange run(int[] here, int first) {
		int end = first + 1;
		while (end < here.length && here[end] == here[first]
				&& (here[first] == 0 || this.all[end] == this.all[first])) {
			end++;
		}
		return new LayerRange(first, end);
	}

}
