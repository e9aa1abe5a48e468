package io.bilberryvalve.platform;

import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.ModelVersion;

/**
 * Store of model weights, with a rate limit. Stages never complete exceptionally.
 */
public interface WeightStore {

	/**
	 * Looks up the size of the weights of a model version.
	 * @param model the model version
	 * @return size of the weights in bytes, or -1 if the store does not say
	 */
	CompletionStage<ReadResult<Long>> findSize(ModelVersion model);

}
