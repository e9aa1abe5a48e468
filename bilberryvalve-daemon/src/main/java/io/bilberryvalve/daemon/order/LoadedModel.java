package io.bilberryvalve.daemon.order;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import org.jspecify.annotations.Nullable;

/**
 * Model version, adapter and layers that an engine has loaded or should load.
 *
 * @param model the model version
 * @param adapter name of the adapter, or {@code null} for the model without an adapter
 * @param layers range of layers of the model
 */
public record LoadedModel(ModelVersion model, @Nullable String adapter, LayerRange layers) {

	static LoadedModel of(Runner runner) {
		return new LoadedModel(runner.model(), runner.adapter(), runner.layers());
	}

}
