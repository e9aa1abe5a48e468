package io.bilberryvalve.gateway.relay;

import java.time.Clock;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.model.RunnerId;

/**
 * Asks a runner once when many of its streams fall silent together, and gives all of them
 * the same answer.
 */
final class CoalescingStallProbe implements StallProbe {

	/**
	 * A report shows the state of some 200 ms ago, so a second one soon after tells
	 * nothing new.
	 */
	private static final long REUSE_MILLIS = 250;

	private final StallProbe delegate;

	private final Clock clock;

	private final Map<RunnerId, RecentProbe> recentProbes = new ConcurrentHashMap<>();

	CoalescingStallProbe(StallProbe runners, Clock clock) {
		this.delegate = runners;
		this.clock = clock;
	}

	@Override
	public CompletionStage<ProbeResult> probe(ListedRunner first) {
		long now = this.clock.millis();
		return this.recentProbes.compute(first.id(), (id, before) -> (before != null && now - before.at < REUSE_MILLIS)
				? before : new RecentProbe(now, this.delegate.probe(first))).result;
	}

	private record RecentProbe(long at, CompletionStage<ProbeResult> result) {

	}

}
