package io.bilberryvalve.policy.chain;

import io.bilberryvalve.model.ModelVersion;

/**
 * Sizes of a model version that planning depends on.
 *
 * @param model model version that has these sizes
 * @param layers number of layers, positive
 * @param activationBytes bytes passed from stage to stage for one token, not negative
 */
public record ModelShape(ModelVersion model, int layers, long activationBytes) {

	/**
	 * Checks the sizes.
	 * @throws IllegalArgumentException if a size is out of range
	 */
	public ModelShape {
		if (layers < 1 || activationBytes < 0) {
			throw new IllegalArgumentException(
					"model " + model + " needs at least 1 layer and an activation size of at least 0 bytes");
		}
	}

}
