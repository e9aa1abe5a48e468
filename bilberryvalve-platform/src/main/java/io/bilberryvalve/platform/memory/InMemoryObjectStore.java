package io.bilberryvalve.platform.memory;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.platform.ObjectStore;
import io.bilberryvalve.platform.PutResult;
import io.bilberryvalve.platform.ReadResult;

/**
 * Object store in memory with fault injection. Safe for use by several threads.
 */
public final class InMemoryObjectStore implements ObjectStore {

	private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

	private final FaultInjector readFaults = new FaultInjector();

	private final FaultInjector writeFaults = new FaultInjector();

	/**
	 * Returns the injector of faults into reads.
	 * @return the injector, owned by this store
	 */
	public FaultInjector readFaults() {
		return this.readFaults;
	}

	/**
	 * Returns the injector of faults into writes.
	 * @return the injector, owned by this store
	 */
	public FaultInjector writeFaults() {
		return this.writeFaults;
	}

	@Override
	public CompletionStage<PutResult> put(String key, byte[] body) {
		byte[] copy = body.clone();
		return this.writeFaults.apply(() -> {
			this.objects.put(key, copy);
			return new PutResult.Done();
		}, PutResult.Refused::new, PutResult.Unknown::new);
	}

	@Override
	public CompletionStage<ReadResult<byte[]>> get(String key) {
		return this.readFaults.apply(() -> {
			byte[] body = this.objects.get(key);
			return (body != null) ? new ReadResult.Found<>(body.clone()) : new ReadResult.Missing<>();
		}, ReadResult.Failed::new, ReadResult.Failed::new);
	}

}
