package io.bilberryvalve.standins.engine;

import io.bilberryvalve.model.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * KV data of a stream in some layers, and the document of {@code GET /v1/kv/{stream}}.
 *
 * @param model the model
 * @param version its version
 * @param adapter adapter, or {@code null} for none
 * @param prompt prompt that the data belongs to
 * @param first first layer, inclusive
 * @param end last layer, exclusive
 * @param positions number of leading token positions
 */
public record KvData(String model, String version, @Nullable String adapter, String prompt, int first, int end,
		int positions) {

	static KvData of(StreamRequest request, LayerRange layers, int positions) {
		return new KvData(request.model(), request.version(), request.adapter(), request.prompt(), layers.first(),
				layers.end(), positions);
	}

	/**
	 * Tells whether the data can be used for a stage of a request.
	 * @param request the request
	 * @param layers layers of the stage
	 * @return whether prompt and model are the same and all layers are present
	 */
	boolean covers(StreamRequest request, LayerRange layers) {
		KvData wanted = of(request, layers, this.positions);
		return wanted.restrictedTo(layers).equals(restrictedTo(layers)) && this.first <= layers.first()
				&& layers.end() <= this.end;
	}

	/**
	 * Returns the data of some of the layers.
	 * @param layers the layers
	 * @return the data, also if layers are missing
	 */
	KvData restrictedTo(LayerRange layers) {
		return new KvData(this.model, this.version, this.adapter, this.prompt, layers.first(), layers.end(),
				this.positions);
	}

	/**
	 * Returns the size of the data.
	 * @return the number of layer-tokens
	 */
	long layerTokens() {
		return (long) this.positions * (this.end - this.first);
	}

}
