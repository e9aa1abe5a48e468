package io.bilberryvalve.policy.outcome;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;

/**
 * A range of layers that a runner computed for one token.
 *
 * @param runner the runner
 * @param layers the layers that it computed
 */
public record LayerStep(RunnerId runner, LayerRange layers) {

}
