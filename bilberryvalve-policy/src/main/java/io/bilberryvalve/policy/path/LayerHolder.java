package io.bilberryvalve.policy.path;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.placement.CardKind;

/**
 * A runner that holds layers and can be used in paths.
 *
 * @param runner identifier of the runner
 * @param layers layers that it holds
 * @param dataCentre data centre of the runner
 * @param card kind of its card
 * @param slowdown factor by which it is slower than the profile of the engines says, 1
 * for as fast
 */
public record LayerHolder(RunnerId runner, LayerRange layers, DataCentreId dataCentre, CardKind card, double slowdown) {

	/**
	 * Returns this holder with another slowdown.
	 * @param factor factor by which it is slower than the profile says
	 * @return the holder, the same one if nothing changes
	 */
	public LayerHolder withSlowdown(double factor) {
		return (factor == this.slowdown) ? this
				: new LayerHolder(this.runner, this.layers, this.dataCentre, this.card, factor);
	}

}
