package io.bilberryvalve.policy.placement;

import java.util.Map;

/**
 * Planned number of layers for cards of each kind. Immutable.
 *
 * @param layers number of layers of the model
 * @param maxLayersByKind most layers that a card of each kind holds, by name of the kind;
 * kinds that are not used are absent
 * @param requestsPerSecond estimated throughput of all cards in requests of typical size,
 * 0 if it has not been estimated
 */
public record LayerTemplate(int layers, Map<String, Integer> maxLayersByKind, double requestsPerSecond) {

	/**
	 * Copies the map.
	 * @param layers number of layers of the model
	 * @param maxLayersByKind most layers that a card of each kind holds
	 * @param requestsPerSecond estimated throughput, 0 if it has not been estimated
	 */
	public LayerTemplate {
		maxLayersByKind = Map.copyOf(maxLayersByKind);
	}

	/**
	 * Returns the most layers that a card of a kind holds.
	 * @param kind name of the kind
	 * @return number of layers, 0 if the kind is not used
	 */
	public int maxLayers(String kind) {
		return this.maxLayersByKind.getOrDefault(kind, 0);
	}

}
