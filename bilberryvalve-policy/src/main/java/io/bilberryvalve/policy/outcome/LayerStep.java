package io.bilberryvalve.policy.outcome;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;

/**
 * Part of the computation of one token: a range of layers that one runner computed.
 *
 * @param runner runner that computed the layers
 * @param layers layers of the model, consecutive
 */
public record LayerStep(RunnerId runner, LayerRange layers) {

}
