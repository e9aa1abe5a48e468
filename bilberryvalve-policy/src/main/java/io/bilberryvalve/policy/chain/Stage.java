package io.bilberryvalve.policy.chain;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.Runner;

/**
 * One runner of a {@link Chain} and the layers that it computes there.
 *
 * @param runner runner that computes the stage
 * @param layers layers that it computes, a part of the layers that it holds
 */
public record Stage(Runner runner, LayerRange layers) {

	/**
	 * Checks that the runner holds the layers.
	 * @throws IllegalArgumentException if the runner does not hold the layers
	 */
	public Stage {
		if (!runner.layers().contains(layers)) {
			throw new IllegalArgumentException(
					"runner '" + runner.id() + "' holds layers " + runner.layers() + ", not " + layers);
		}
	}

}
