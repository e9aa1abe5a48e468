package io.bilberryvalve.policy.once;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;

/**
 * Groups the writes of many keys into batches, each of which is one transaction. It
 * limits how many batches are in progress and how soon one starts after another. A key is
 * in at most one unresolved batch, so its writes keep their order. Not safe for use by
 * several threads.
 */
final class GroupCommit {

	private final ExecutionLimits limits;

	private final Set<ExecutionKey> waiting = new LinkedHashSet<>();

	private final Map<Long, List<RecordWrite>> batches = new HashMap<>();

	private final Map<Long, Instant> rereads = new TreeMap<>();

	private Duration spacing;

	private Instant earliestStart = Instant.MIN;

	private long nextBatch;

	GroupCommit(ExecutionLimits limits) {
		this.limits = limits;
		this.spacing = limits.commitInterval();
	}

	void commitInterval(Duration time) {
		this.spacing = time;
	}

	void add(ExecutionKey key) {
		this.waiting.add(key);
	}

	void cancel(ExecutionKey key) {
		this.waiting.remove(key);
	}

	boolean canStartBatch(Instant now) {
		return !this.waiting.isEmpty() && this.batches.size() < this.limits.maxBatchesInProgress()
				&& !now.isBefore(this.earliestStart);
	}

	List<ExecutionKey> takeBatchKeys(Instant now) {
		List<ExecutionKey> keys = new ArrayList<>();
		Iterator<ExecutionKey> iterator = this.waiting.iterator();
		while (iterator.hasNext() && keys.size() < this.limits.batchSize()) {
			keys.add(iterator.next());
			iterator.remove();
		}
		this.earliestStart = now.plus(this.spacing);
		return keys;
	}

	long startBatch(List<RecordWrite> writes) {
		long batch = this.nextBatch++;
		this.batches.put(batch, List.copyOf(writes));
		return batch;
	}

	List<RecordWrite> writes(long batch) {
		return this.batches.getOrDefault(batch, List.of());
	}

	List<RecordWrite> endBatch(long batch) {
		this.rereads.remove(batch);
		List<RecordWrite> writes = this.batches.remove(batch);
		return (writes != null) ? writes : List.of();
	}

	void backOff(Instant now, @Nullable Duration time) {
		Instant until = now.plus((time != null) ? time : this.limits.backOff());
		if (until.isAfter(this.earliestStart)) {
			this.earliestStart = until;
		}
	}

	void scheduleReread(long batch, Instant now) {
		if (this.batches.containsKey(batch)) {
			this.rereads.put(batch, now.plus(this.limits.backOff()));
		}
	}

	List<Long> takeDueRereads(Instant now) {
		List<Long> due = this.rereads.entrySet()
			.stream()
			.filter((entry) -> !entry.getValue().isAfter(now))
			.map(Map.Entry::getKey)
			.toList();
		due.forEach(this.rereads::remove);
		return due;
	}

	@Nullable Instant nextTick() {
		Instant next = this.rereads.values().stream().min(Instant::compareTo).orElse(null);
		boolean open = !this.waiting.isEmpty() && this.batches.size() < this.limits.maxBatchesInProgress();
		return (open && (next == null || this.earliestStart.isBefore(next))) ? this.earliestStart : next;
	}

}
