package io.bilberryvalve.policy.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;

/**
 * Counts the holders of each layer, per data centre and in total.
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
	 * Adds or removes a holder.
	 * @param dataCentre data centre of the holder
	 * @param range layers that it holds
	 * @param change 1 to add the holder, -1 to remove it
	 */
	void add(DataCentreId dataCentre, LayerRange range, int change) {
		int[] counts = dataCentreCounts(dataCentre);
		for (int layer = range.first(); layer < Math.min(range.end(), this.all.length); layer++) {
			counts[layer] += change;
			this.all[layer] += change;
		}
	}

	private int[] dataCentreCounts(DataCentreId dataCentre) {
		return this.byDataCentre.computeIfAbsent(dataCentre, (id) -> new int[this.all.length]);
	}

	/**
	 * Returns the number of holders of the layer in a range that has the fewest.
	 * @param dataCentre data centre in which holders are counted
	 * @param range the layers to look at
	 * @return number of holders
	 */
	int minHolders(DataCentreId dataCentre, LayerRange range) {
		int[] counts = dataCentreCounts(dataCentre);
		return IntStream.range(range.first(), Math.min(range.end(), counts.length))
			.map((layer) -> counts[layer])
			.min()
			.orElse(0);
	}

	/**
	 * Counts layers without a holder in a data centre.
	 * @param dataCentre data centre in which holders are counted
	 * @return number of layers
	 */
	int missingLayers(DataCentreId dataCentre) {
		return (int) IntStream.of(dataCentreCounts(dataCentre)).filter((holders) -> holders == 0).count();
	}

	/**
	 * Finds the first gap: the lowest layer without a holder in a data centre and the
	 * layers after it that have none either.
	 * @param dataCentre data centre in which holders are counted
	 * @return the gap, or empty if every layer has a holder
	 */
	Optional<LayerRange> firstGap(DataCentreId dataCentre) {
		int[] counts = dataCentreCounts(dataCentre);
		return IntStream.range(0, counts.length)
			.filter((layer) -> counts[layer] == 0)
			.mapToObj((layer) -> extend(counts, layer))
			.findFirst();
	}

	/**
	 * Finds the layers with the fewest holders in a data centre. Among layers with
	 * equally many there, those with the fewest holders in total are preferred.
	 * @param dataCentre data centre in which holders are counted
	 * @return adjacent layers that all have the same number of holders
	 */
	LayerRange leastHeld(DataCentreId dataCentre) {
		int[] counts = dataCentreCounts(dataCentre);
		int best = 0;
		for (int layer = 1; layer < counts.length; layer++) {
			boolean fewer = counts[layer] < counts[best]
					|| (counts[layer] == counts[best] && counts[best] > 0 && this.all[layer] < this.all[best]);
			best = fewer ? layer : best;
		}
		return extend(counts, best);
	}

	// Extends a range to higher layers while the number of holders stays the same.
	private LayerRange extend(int[] counts, int first) {
		int end = first + 1;
		while (end < counts.length && counts[end] == counts[first]
				&& (counts[first] == 0 || this.all[end] == this.all[first])) {
			end++;
		}
		return new LayerRange(first, end);
	}

}
