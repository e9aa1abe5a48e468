package io.bilberryvalve.policy.path;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.placement.CardKind;

/**
 * A runner that holds layers and may be used.
 *
 * @param runner the runner
 * @param layers the layers that it holds
 * @param dataCentre where it stands
 * @param card its kind of card
 * @param slowdown factor on its expected times, 1 if it keeps them
 */
public record LayerHolder(RunnerId runner, LayerRange layers, DataCentreId dataCentre, CardKind card, double slowdown) {

}
