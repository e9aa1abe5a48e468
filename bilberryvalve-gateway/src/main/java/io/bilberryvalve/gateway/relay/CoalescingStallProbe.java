package io.bilberryvalve.gateway.relay;

import java.time.Clock;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.model.RunnerId;

/**
 * Coalesces the probes of one runner: when many of its streams fall silent together, it
 * is asked once and all of them get the same result. Safe for use by several threads.
 */
final class CoalescingStallProbe implements StallProbe {

	/**
	 * Time for which a result is reused. A report shows the state of about 200 ms
	 * earlier, so that a second one within this time would contain nothing new.
	 */
	private static final long REUSE_MILLIS = 250;

	private final StallProbe delegate;

	private final Clock clock;

	private final Map<RunnerId, RecentProbe> recentProbes = new ConcurrentHashMap<>();

	CoalescingStallProbe(StallProbe delegate, Clock clock) {
		this.delegate = delegate;
		this.clock = clock;
	}

	@Override
	public CompletionStage<ProbeResult> probe(ListedRunner first) {
		long now = this.clock.millis();
		return this.recentProbes.compute(first.id(),
				(id, previous) -> (previous != null && now - previous.at < REUSE_MILLIS) ? previous
						: new RecentProbe(now, this.delegate.probe(first))).result;
	}

	private record RecentProbe(long at, CompletionStage<ProbeResult> result) {

	}

}
