package io.bilberryvalve.policy.chain;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.Runner;

/**
 * One runner of a chain with the layers that it computes.
 *
 * @param runner the runner
 * @param layers the layers that it computes, contained in the layers that it holds
 */
public record Stage(Runner runner, LayerRange layers) {

	/**
	 * Checks the stage.
	 * @throws IllegalArgumentException if the runner does not hold the layers
	 */
	public Stage {
		if (!runner.layers().contains(layers)) {
			throw new IllegalArgumentException(
					"runner '" + runner.id() + "' holds layers " + runner.layers() + ", not " + layers);
		}
	}

}
