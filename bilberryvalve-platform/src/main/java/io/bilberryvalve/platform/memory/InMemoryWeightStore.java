package io.bilberryvalve.platform.memory;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.WeightStore;

/**
 * Weight store in memory with fault injection. Safe for use by several threads.
 */
public final class InMemoryWeightStore implements WeightStore {

	private final Map<ModelVersion, Long> sizes = new ConcurrentHashMap<>();

	private final FaultInjector readFaults = new FaultInjector();

	/**
	 * Adds the weights of a model version. Only their size is stored.
	 * @param model the model version
	 * @param bytes size of the weights in bytes
	 * @return this store
	 */
	public InMemoryWeightStore add(ModelVersion model, long bytes) {
		this.sizes.put(model, bytes);
		return this;
	}

	/**
	 * Returns the injector of faults into reads.
	 * @return the injector, owned by this store
	 */
	public FaultInjector readFaults() {
		return this.readFaults;
	}

	@Override
	public CompletionStage<ReadResult<Long>> findSize(ModelVersion model) {
		return this.readFaults.apply(() -> {
			Long bytes = this.sizes.get(model);
			return (bytes != null) ? new ReadResult.Found<>(bytes) : new ReadResult.Missing<>();
		}, ReadResult.Failed::new, ReadResult.Failed::new);
	}

}
