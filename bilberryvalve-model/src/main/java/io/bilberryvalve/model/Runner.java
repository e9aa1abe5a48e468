package io.bilberryvalve.model;

import org.jspecify.annotations.Nullable;

/**
 * A model runner: an engine that holds a range of layers of one model version.
 *
 * @param id the runner
 * @param address where the engine listens
 * @param dataCentre data centre of the runner
 * @param kind kind of its accelerator
 * @param model model version that it holds
 * @param layers layers that it holds
 * @param checksFencing whether the engine refuses an order with an old fencing number
 * @param adapter adapter loaded on the runner, or {@code null} for none
 */
public record Runner(RunnerId id, Address address, DataCentreId dataCentre, AcceleratorKind kind, ModelVersion model,
		LayerRange layers, boolean checksFencing, @Nullable String adapter) {

}
