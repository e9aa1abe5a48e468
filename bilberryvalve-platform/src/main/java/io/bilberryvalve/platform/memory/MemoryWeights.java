package io.bilberryvalve.platform.memory;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.WeightStore;

/**
 * Weight store in memory.
 */
public final class MemoryWeights implements WeightStore {

	private final Map<ModelVersion, Long> sizes = new ConcurrentHashMap<>();

	private final Faults reads = new Faults();

	/**
	 * Adds the weights of a model version.
	 * @param model the model version
	 * @param bytes their size in bytes
	 * @return this store
	 */
	public MemoryWeights add(ModelVersion model, long bytes) {
		this.sizes.put(model, bytes);
		return this;
	}

	/**
	 * Returns the faults of reads.
	 * @return the faults
	 */
	public Faults reads() {
		return this.reads;
	}

	@Override
	public CompletionStage<Fetched<Long>> find(ModelVersion model) {
		return this.reads.apply(() -> {
			Long bytes = this.sizes.get(model);
			return (bytes != null) ? new Fetched.Found<>(bytes) : new Fetched.Missing<>();
		}, Fetched.Failed::new, Fetched.Failed::new);
	}

}
