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
final class SharedReports implements StallReports {

	/**
	 * A report shows the state of some 200 ms ago, so a second one soon after tells
	 * nothing new.
	 */
	private static final long SHARED_MILLIS = 250;

	private final StallReports runners;

	private final Clock clock;

	private final Map<RunnerId, Asked> asked = new ConcurrentHashMap<>();

	SharedReports(StallReports runners, Clock clock) {
		this.runners = runners;
		this.clock = clock;
	}

	@Override
	public CompletionStage<Stall> ask(ListedRunner first) {
		long now = this.clock.millis();
		return this.asked.compute(first.id(), (id, before) -> (before != null && now - before.at < SHARED_MILLIS)
				? before : new Asked(now, this.runners.ask(first))).answer;
	}

	private record Asked(long at, CompletionStage<Stall> answer) {

	}

}
