package io.bilberryvalve.standins.engine;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.model.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Counts how often the engine executed each layer for each token of each epoch, so that
 * tests can check that it happened once. Only the latest tokens are kept.
 */
final class Executions {

	private final int capacity;

	private final Map<Key, Integer> counts = new LinkedHashMap<>();

	private long dropped;

	/**
	 * Creates an empty count.
	 * @param capacity number of token and layer range pairs to keep
	 */
	Executions(int capacity) {
		this.capacity = capacity;
	}

	synchronized void record(String stream, int epoch, int index, LayerRange layers) {
		this.counts.merge(new Key(stream, epoch, index, layers), 1, Integer::sum);
		if (this.counts.size() > this.capacity) {
			this.counts.remove(this.counts.keySet().iterator().next());
			this.dropped++;
		}
	}

	/**
	 * Returns the counts.
	 * @param stream the only stream to report, or {@code null} for all
	 * @return the counts in the order of the first execution
	 */
	synchronized Report report(@Nullable String stream) {
		List<Entry> entries = new ArrayList<>();
		this.counts.forEach((key, count) -> {
			if (stream == null || stream.equals(key.stream())) {
				entries.add(new Entry(key.stream(), key.epoch(), key.index(), key.layers().first(), key.layers().end(),
						count));
			}
		});
		return new Report(entries, this.dropped);
	}

	private record Key(String stream, int epoch, int index, LayerRange layers) {

	}

	/**
	 * The document of {@code GET /admin/executions}.
	 *
	 * @param executions the counts
	 * @param dropped number of counts that were not kept
	 */
	public record Report(List<Entry> executions, long dropped) {

	}

	/**
	 * Number of executions of each layer of a range for one token.
	 *
	 * @param stream the stream
	 * @param epoch the epoch
	 * @param index index of the token
	 * @param first first layer, inclusive
	 * @param end last layer, exclusive
	 * @param count number of executions
	 */
	public record Entry(String stream, int epoch, int index, int first, int end, int count) {

	}

}
