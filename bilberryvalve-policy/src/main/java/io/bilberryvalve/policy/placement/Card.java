package io.bilberryvalve.policy.placement;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * A runner that can hold layers of a model, with its accelerator card.
 *
 * @param runner identifier of the runner
 * @param dataCentre data centre of the runner
 * @param kind kind of its card, which determines memory and speed
 * @param held the layers that it holds or has been ordered to load, or {@code null} for
 * none
 * @param busy whether it is carrying out an order and accepts no other
 */
public record Card(RunnerId runner, DataCentreId dataCentre, CardKind kind, @Nullable LayerRange held, boolean busy) {

}
