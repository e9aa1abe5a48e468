package io.bilberryvalve.daemon.runner;

import java.util.HashMap;
import java.util.Map;

import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.ChainSet;
import io.bilberryvalve.policy.chain.ChainTable;
import io.bilberryvalve.policy.share.Capacity;

/**
 * Computes the capacity of the planned chains. Pipelines with and without an adapter
 * share the runners of a model, so each model counts once, with its plan of the highest
 * token rate.
 */
final class PlannedCapacity {

	/**
	 * Ratio of admitted streams to the streams that the planned token rate needs by
	 * Little's law. Additional streams keep the runners busy when their work is uneven;
	 * too many lengthen the time between tokens.
	 */
	private static final double STREAM_FACTOR = 2;

	private PlannedCapacity() {
	}

	static Capacity of(ChainTable table) {
		Map<ModelVersion, Capacity> models = new HashMap<>();
		table.sets().forEach((key, set) -> models.merge(key.model(), capacity(set), PlannedCapacity::larger));
		int streams = models.values().stream().mapToInt(Capacity::streams).sum();
		double tokens = models.values().stream().mapToDouble(Capacity::tokensPerSecond).sum();
		return new Capacity(streams, tokens);
	}

	private static Capacity capacity(ChainSet set) {
		double streams = 0;
		for (Chain chain : set.chains()) {
			streams += chain.tokensPerSecond() * chain.seconds() * STREAM_FACTOR;
		}
		return new Capacity((int) Math.ceil(streams), set.tokensPerSecond());
	}

	private static Capacity larger(Capacity one, Capacity other) {
		return (one.tokensPerSecond() >= other.tokensPerSecond()) ? one : other;
	}

}
