package io.bilberryvalve.model;

import org.jspecify.annotations.Nullable;

/**
 * A runner of a language model: an engine that holds a contiguous range of layers of one
 * model version.
 *
 * @param id identifier of the runner
 * @param address address on which the engine accepts requests
 * @param dataCentre data centre in which the engine runs
 * @param kind kind of its accelerator
 * @param model model version that it holds
 * @param layers layers that it holds
 * @param checksFencing whether the engine refuses an order with an old fencing number
 * @param adapter name of the adapter loaded on the engine, or {@code null} for none
 */
public record Runner(RunnerId id, Address address, DataCentreId dataCentre, AcceleratorKind kind, ModelVersion model,
		LayerRange layers, boolean checksFencing, @Nullable String adapter) {

}
