package io.bilberryvalve.policy.placement;

import java.util.Map;

/**
 * How many layers cards of each kind hold.
 *
 * @param layers number of layers of the model
 * @param maxLayersByKind layers that a card of each kind holds at most, by name of the
 * kind; a kind that is not used is absent
 * @param requestsPerSecond estimated number of usual requests that the cards serve
 */
public record LayerTemplate(int layers, Map<String, Integer> maxLayersByKind, double requestsPerSecond) {

	/**
	 * Copies the widths.
	 * @param layers number of layers of the model
	 * @param maxLayersByKind layers that a card of each kind holds at most
	 * @param requestsPerSecond estimated number of usual requests
	 */
	public LayerTemplate {
		maxLayersByKind = Map.copyOf(maxLayersByKind);
	}

	/**
	 * Returns the layers that a card of a kind holds at most.
	 * @param kind name of the kind
	 * @return number of layers, 0 if the kind is not used
	 */
	public int maxLayers(String kind) {
		return this.maxLayersByKind.getOrDefault(kind, 0);
	}

}
