package io.bilberryvalve.standins.engine;

import java.util.Set;

import io.bilberryvalve.model.LayerRange;

/**
 * What an engine has loaded.
 *
 * @param model the model
 * @param version its version
 * @param adapters loaded adapters
 * @param layers layers
 */
public record Holding(String model, String version, Set<String> adapters, LayerRange layers) {

	/**
	 * Copies the set.
	 */
	public Holding {
		adapters = Set.copyOf(adapters);
	}

	/**
	 * Tells whether the engine can serve a stage of a request.
	 * @param request the request
	 * @param range layers of the stage
	 * @return whether it holds the model version, the adapter and the layers
	 */
	boolean serves(StreamRequest request, LayerRange range) {
		return this.model.equals(request.model()) && this.version.equals(request.version())
				&& (request.adapter() == null || this.adapters.contains(request.adapter()))
				&& this.layers.contains(range);
	}

	@Override
	public String toString() {
		return this.model + " " + this.version + " " + this.layers + " adapters " + this.adapters;
	}

}
