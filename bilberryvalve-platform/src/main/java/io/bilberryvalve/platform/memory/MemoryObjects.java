package io.bilberryvalve.platform.memory;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.ObjectStore;
import io.bilberryvalve.platform.Stored;

/**
 * Object store in memory.
 */
public final class MemoryObjects implements ObjectStore {

	private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

	private final Faults reads = new Faults();

	private final Faults writes = new Faults();

	/**
	 * Returns the faults of reads.
	 * @return the faults
	 */
	public Faults reads() {
		return this.reads;
	}

	/**
	 * Returns the faults of writes.
	 * @return the faults
	 */
	public Faults writes() {
		return this.writes;
	}

	@Override
	public CompletionStage<Stored> put(String key, byte[] body) {
		byte[] copy = body.clone();
		return this.writes.apply(() -> {
			this.objects.put(key, copy);
			return new Stored.Done();
		}, Stored.Refused::new, Stored.Unknown::new);
	}

	@Override
	public CompletionStage<Fetched<byte[]>> get(String key) {
		return this.reads.apply(() -> {
			byte[] body = this.objects.get(key);
			return (body != null) ? new Fetched.Found<>(body.clone()) : new Fetched.Missing<>();
		}, Fetched.Failed::new, Fetched.Failed::new);
	}

}
