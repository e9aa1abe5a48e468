package io.bilberryvalve.platform;

import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.ModelVersion;

/**
 * Rate-limited store of model weights. Stages never complete exceptionally.
 */
public interface WeightStore {

	/**
	 * Finds the weights of a model version without loading them.
	 * @param model the model version
	 * @return size of the weights in bytes, or -1 if the store does not say
	 */
	CompletionStage<ReadResult<Long>> findSize(ModelVersion model);

}
