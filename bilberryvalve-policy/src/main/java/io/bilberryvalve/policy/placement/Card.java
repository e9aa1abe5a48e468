package io.bilberryvalve.policy.placement;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * A runner that can hold layers.
 *
 * @param runner the runner
 * @param dataCentre where it stands
 * @param kind its kind of card
 * @param held the layers that it holds or has been ordered to load, or {@code null}
 * @param busy whether it carries out an order and takes no other
 */
public record Card(RunnerId runner, DataCentreId dataCentre, CardKind kind, @Nullable LayerRange held, boolean busy) {

}
