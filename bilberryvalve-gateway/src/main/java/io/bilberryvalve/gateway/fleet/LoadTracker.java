package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.LoadSource;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.path.RunnerLoad;

/**
 * Requests in progress at runners: those of this daemon, and those that other daemons
 * reported. Safe for use by several threads.
 */
public final class LoadTracker implements LoadSource {

	/** A daemon that stopped reporting for this time no longer counts. */
	private static final Duration REPORT_LIFETIME = Duration.ofSeconds(2);

	private final Clock clock;

	private final Map<RunnerId, RunnerLoad> own = new HashMap<>();

	private final Map<String, Report> reports = new ConcurrentHashMap<>();

	private Map<RunnerId, RunnerLoad> others = Map.of();

	/**
	 * Creates an empty book.
	 * @param clock monotonic clock
	 */
	public LoadTracker(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Adds a request.
	 * @param parts the runners and links that it uses, its first runner first
	 * @param size its size
	 */
	public synchronized void add(List<PathSegment> parts, RequestSize size) {
		for (int i = 0; i < parts.size(); i++) {
			PathSegment part = parts.get(i);
			change(part.runner(), new RunnerLoad(1, (long) size.totalTokens() * part.layers(), (i == 0) ? 1 : 0,
					(long) size.promptTokens() * part.layers()));
		}
	}

	/**
	 * The prompt of a request has been read.
	 * @param parts the runners and links that it uses
	 * @param size its size
	 */
	public synchronized void recordPrefill(List<PathSegment> parts, RequestSize size) {
		parts.forEach(
				(part) -> change(part.runner(), new RunnerLoad(0, 0, 0, -(long) size.promptTokens() * part.layers())));
	}

	/**
	 * Removes a request.
	 * @param parts the runners and links that it used, its first runner first
	 * @param size its size
	 * @param read whether its prompt had been read
	 */
	public synchronized void remove(List<PathSegment> parts, RequestSize size, boolean read) {
		for (int i = 0; i < parts.size(); i++) {
			PathSegment part = parts.get(i);
			change(part.runner(), new RunnerLoad(-1, -(long) size.totalTokens() * part.layers(), (i == 0) ? -1 : 0,
					read ? 0 : -(long) size.promptTokens() * part.layers()));
		}
	}

	private void change(RunnerId runner, RunnerLoad change) {
		RunnerLoad usage = this.own.getOrDefault(runner, RunnerLoad.NONE).plus(change);
		if (usage.running() == 0) {
			this.own.remove(runner);
		}
		else {
			this.own.put(runner, usage);
		}
	}

	/**
	 * Returns the load of this daemon's requests.
	 * @return usage by runner, only those in use
	 */
	public synchronized Map<RunnerId, RunnerLoad> ownLoads() {
		return Map.copyOf(this.own);
	}

	/**
	 * Takes the report of another daemon.
	 * @param daemon name of the daemon
	 * @param usage its usage by runner
	 */
	public synchronized void applyReport(String daemon, Map<RunnerId, RunnerLoad> usage) {
		this.reports.put(daemon, new Report(this.clock.millis(), usage));
		sumOthers();
	}

	/**
	 * Drops reports that are too old. Call it a few times a second.
	 */
	public synchronized void removeExpired() {
		long oldest = this.clock.millis() - REPORT_LIFETIME.toMillis();
		if (this.reports.values().removeIf((report) -> report.millis < oldest)) {
			sumOthers();
		}
	}

	private void sumOthers() {
		Map<RunnerId, RunnerLoad> sum = new HashMap<>();
		for (Report report : this.reports.values()) {
			report.usage.forEach((runner, usage) -> sum.merge(runner, usage, RunnerLoad::plus));
		}
		this.others = sum;
	}

	@Override
	public synchronized RunnerLoad of(RunnerId runner) {
		return this.own.getOrDefault(runner, RunnerLoad.NONE).plus(this.others.getOrDefault(runner, RunnerLoad.NONE));
	}

	/**
	 * What a request uses of a runner.
	 *
	 * @param runner the runner, or the identifier of a link
	 * @param layers layers that it passes there
	 */
	public record PathSegment(RunnerId runner, int layers) {

	}

	private record Report(long millis, Map<RunnerId, RunnerLoad> usage) {

	}

}
