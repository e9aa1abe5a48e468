package io.bilberryvalve.daemon.order;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import org.jspecify.annotations.Nullable;

/**
 * What an engine holds, or should hold.
 *
 * @param model the model version
 * @param adapter the adapter, or {@code null} for none
 * @param layers the layers
 */
public record LoadedModel(ModelVersion model, @Nullable String adapter, LayerRange layers) {

	static LoadedModel of(Runner runner) {
		return new LoadedModel(runner.model(), runner.adapter(), runner.layers());
	}

}
