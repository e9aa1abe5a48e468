package io.bilberryvalve.policy.placement;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;

import io.bilberryvalve.model.LayerRange;

/**
 * Widths of the layer ranges that cards of each kind hold. All widths share one grid, so
 * that the ranges of slower cards begin and end where those of faster cards do and any
 * card can replace the like part of a chain.
 *
 * @param layers number of layers of the model
 * @param widths layers that a card of each kind holds, by name of the kind; a kind that
 * is too small is absent
 * @param requestsPerSecond estimated number of usual requests that the cards serve
 */
public record LayerTemplate(int layers, Map<String, Integer> widths, double requestsPerSecond) {

	/**
	 * Copies the widths.
	 */
	public LayerTemplate {
		widths = Map.copyOf(widths);
	}

	/**
	 * Returns the ranges that a card of a kind may hold.
	 * @param kind name of the kind
	 * @return the ranges from the first layer on, empty if the kind holds none
	 */
	public List<LayerRange> ranges(String kind) {
		Integer width = this.widths.get(kind);
		if (width == null) {
			return List.of();
		}
		int count = (this.layers + width - 1) / width;
		return IntStream.range(0, count)
			.mapToObj((i) -> new LayerRange(Math.min(i * width, this.layers - width),
					Math.min(i * width, this.layers - width) + width))
			.toList();
	}

}
