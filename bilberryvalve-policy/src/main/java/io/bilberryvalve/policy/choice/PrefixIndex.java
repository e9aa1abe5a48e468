package io.bilberryvalve.policy.choice;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.model.RunnerId;

/**
 * Index of the prompt prefixes that each runner may have in its cache, built from cache
 * events that may arrive late or be lost. Each record expires, because the event that
 * would remove it may be lost; until then it counts less the older it is and the less
 * memory the runner has free. The size is bounded, and the oldest records are evicted
 * first. Safe for use by several threads.
 */
public final class PrefixIndex {

	private final Clock clock;

	private final PrefixRetention retention;

	private final int capacity;

	private final Map<String, Map<RunnerId, Instant>> holders = new ConcurrentHashMap<>();

	private final Queue<CachedPrefix> insertionOrder = new ConcurrentLinkedQueue<>();

	private final AtomicInteger size = new AtomicInteger();

	/**
	 * Creates an empty index.
	 * @param clock measures the age of records
	 * @param validity age at which a record expires
	 * @param capacity largest number of records
	 */
	public PrefixIndex(Clock clock, Duration validity, int capacity) {
		this.clock = clock;
		this.retention = new PrefixRetention(validity);
		this.capacity = capacity;
	}

	/**
	 * Records that a runner stored a prefix in its cache.
	 * @param runner runner that stored it
	 * @param prefix hash of the prefix, see {@link PrefixHash}
	 */
	public void recordStored(RunnerId runner, String prefix) {
		Instant now = this.clock.instant();
		this.holders.compute(prefix, (key, known) -> {
			Map<RunnerId, Instant> map = (known != null) ? known : new ConcurrentHashMap<>();
			map.put(runner, now);
			return map;
		});
		this.insertionOrder.add(new CachedPrefix(runner, prefix, now));
		if (this.size.incrementAndGet() > this.capacity) {
			evictOldest();
		}
	}

	/**
	 * Records that a runner removed a prefix from its cache.
	 * @param runner runner that removed it
	 * @param prefix hash of the prefix
	 */
	public void recordRemoved(RunnerId runner, String prefix) {
		this.holders.computeIfPresent(prefix, (key, map) -> {
			map.remove(runner);
			return map.isEmpty() ? null : map;
		});
	}

	/**
	 * Returns the runners that may hold a prefix.
	 * @param prefix hash of the prefix
	 * @return the runners, including those whose record has expired
	 */
	public Set<RunnerId> holders(String prefix) {
		return this.holders.getOrDefault(prefix, Map.of()).keySet();
	}

	/**
	 * Returns how much of a prompt a runner is expected to have in its cache.
	 * @param runner runner to look up
	 * @param hashes hashes of the prompt's prefixes, the shortest first
	 * @param freeFraction free part of the cache of the runner, 0 to 1
	 * @return expected number of leading blocks of the prompt, from 0 to the number of
	 * hashes
	 */
	public double cachedBlocks(RunnerId runner, List<String> hashes, double freeFraction) {
		Instant now = this.clock.instant();
		double most = 0;
		for (int i = hashes.size(); i > most; i--) {
			Instant since = this.holders.getOrDefault(hashes.get(i - 1), Map.of()).get(runner);
			if (since != null) {
				double held = this.retention.heldProbability(Duration.between(since, now), freeFraction);
				most = Math.max(most, i * held);
			}
		}
		return most;
	}

	private void evictOldest() {
		CachedPrefix oldest = this.insertionOrder.poll();
		if (oldest == null) {
			return;
		}
		this.size.decrementAndGet();
		this.holders.computeIfPresent(oldest.prefix(), (key, map) -> {
			map.remove(oldest.runner(), oldest.since());
			return map.isEmpty() ? null : map;
		});
	}

	private record CachedPrefix(RunnerId runner, String prefix, Instant since) {

	}

}
