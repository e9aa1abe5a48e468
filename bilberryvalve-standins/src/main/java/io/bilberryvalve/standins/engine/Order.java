package io.bilberryvalve.standins.engine;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * The document of {@code POST /v1/orders}.
 *
 * @param fencing fencing number
 * @param action what to do
 * @param model the model of a load order
 * @param version its version
 * @param adapter adapter to load or unload, or {@code null} for none
 * @param first first layer, inclusive
 * @param end last layer, exclusive
 */
public record Order(long fencing, Action action, @Nullable String model, @Nullable String version,
		@Nullable String adapter, @Nullable Integer first, @Nullable Integer end) {

	/**
	 * Checks the order.
	 * @throws IllegalArgumentException if a field is missing
	 */
	public Order {
		if (action == null) {
			throw new IllegalArgumentException("an order needs an action: load, unload, drain or serve");
		}
		if (action == Action.LOAD && (model == null || version == null || first == null || end == null)) {
			throw new IllegalArgumentException("a load order needs model, version, first and end");
		}
	}

	/**
	 * Actions of an order.
	 */
	public enum Action {

		/** Loads a model version, or an adapter for the present one. */
		@JsonProperty("load")
		LOAD,

		/** Unloads an adapter or, without one, the model. */
		@JsonProperty("unload")
		UNLOAD,

		/** Reports the state {@code leaving}; running streams continue. */
		@JsonProperty("drain")
		DRAIN,

		/** Reports the state {@code serving}. */
		@JsonProperty("serve")
		SERVE

	}

}
