package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.LoadSource;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.path.RunnerLoad;

/**
 * Tracks the load of runners and of links between data centres: the requests of this
 * daemon, and those that other daemons reported. Safe for use by several threads.
 */
public final class LoadTracker implements LoadSource {

	/**
	 * Time after which the last report of a daemon no longer counts. Reports of daemons
	 * in other data centres come every 1.2 s, and one of them may be lost.
	 */
	private static final Duration REPORT_LIFETIME = Duration.ofMillis(2500);

	private final Clock clock;

	private final Map<RunnerId, RunnerLoad> own = new HashMap<>();

	private final Map<String, Report> reports = new ConcurrentHashMap<>();

	/** Sum of all that counts, kept up to date with each report. */
	private final Map<RunnerId, RunnerLoad> others = new HashMap<>();

	/** Sums over several daemons, which replace the reports of these daemons. */
	private List<Aggregate> aggregates = List.of();

	/**
	 * Creates a tracker without load.
	 * @param clock monotonic clock
	 */
	public LoadTracker(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Adds the load of a request.
	 * @param segments runners and links on its path, its first runner first
	 * @param size size of the request
	 */
	public synchronized void add(List<PathSegment> segments, RequestSize size) {
		for (int i = 0; i < segments.size(); i++) {
			PathSegment segment = segments.get(i);
			change(segment.runner(), new RunnerLoad(1, (long) size.totalTokens() * segment.layers(), (i == 0) ? 1 : 0,
					(long) size.promptTokens() * segment.layers()));
		}
	}

	/**
	 * Records that the prompt of a request has been prefilled, so that it no longer
	 * counts in {@link RunnerLoad#prefillTokenLayers()}.
	 * @param segments runners and links on its path
	 * @param size size of the request
	 */
	public synchronized void recordPrefill(List<PathSegment> segments, RequestSize size) {
		segments.forEach((segment) -> change(segment.runner(),
				new RunnerLoad(0, 0, 0, -(long) size.promptTokens() * segment.layers())));
	}

	/**
	 * Removes the load of a request.
	 * @param segments runners and links on its path, its first runner first, as they were
	 * added
	 * @param size size of the request, as it was added
	 * @param prefilled whether {@link #recordPrefill} has been called for it
	 */
	public synchronized void remove(List<PathSegment> segments, RequestSize size, boolean prefilled) {
		for (int i = 0; i < segments.size(); i++) {
			PathSegment segment = segments.get(i);
			change(segment.runner(), new RunnerLoad(-1, -(long) size.totalTokens() * segment.layers(),
					(i == 0) ? -1 : 0, prefilled ? 0 : -(long) size.promptTokens() * segment.layers()));
		}
	}

	private void change(RunnerId runner, RunnerLoad change) {
		RunnerLoad load = this.own.getOrDefault(runner, RunnerLoad.NONE).plus(change);
		if (load.running() == 0) {
			this.own.remove(runner);
		}
		else {
			this.own.put(runner, load);
		}
	}

	private void changeOthers(RunnerId runner, RunnerLoad before, RunnerLoad after) {
		if (!after.equals(before)) {
			RunnerLoad sum = this.others.getOrDefault(runner, RunnerLoad.NONE).plus(after).minus(before);
			if (sum.equals(RunnerLoad.NONE)) {
				this.others.remove(runner);
			}
			else {
				this.others.put(runner, sum);
			}
		}
	}

	/**
	 * Returns the load by requests of this daemon.
	 * @return load by identifier of the runner or link, without those that have none
	 */
	public synchronized Map<RunnerId, RunnerLoad> ownLoads() {
		return Map.copyOf(this.own);
	}

	/**
	 * Applies the report of another daemon, which replaces its previous one.
	 * @param daemon name of the daemon
	 * @param load load by its own requests, by identifier of the runner or link
	 */
	public void applyReport(String daemon, Map<RunnerId, RunnerLoad> load) {
		applyReport(new DaemonLoad(daemon, 0, 0, load));
	}

	/**
	 * Applies the report of another daemon, which replaces its previous one.
	 * @param report load by its own requests
	 */
	public synchronized void applyReport(DaemonLoad report) {
		Report previous = this.reports.get(report.daemon());
		Map<RunnerId, RunnerLoad> before = (previous != null) ? previous.counted() : Map.of();
		Report next = new Report(this.clock.millis(), report, !isAggregated(report.daemon()));
		this.reports.put(report.daemon(), next);
		replace(before, next.counted());
	}

	private boolean isAggregated(String daemon) {
		return this.aggregates.stream().anyMatch((aggregate) -> aggregate.contains().test(daemon));
	}

	private void replace(Map<RunnerId, RunnerLoad> before, Map<RunnerId, RunnerLoad> after) {
		after.forEach((runner, now) -> changeOthers(runner, before.getOrDefault(runner, RunnerLoad.NONE), now));
		before.forEach((runner, gone) -> {
			if (!after.containsKey(runner)) {
				changeOthers(runner, gone, RunnerLoad.NONE);
			}
		});
	}

	/**
	 * Sets the sums over several daemons that count in place of the reports of these
	 * daemons. A report counts again once no sum contains its daemon.
	 * @param next sums that contain no daemon twice, and not this one
	 */
	public synchronized void useAggregates(List<Aggregate> next) {
		this.aggregates.forEach((aggregate) -> replace(aggregate.load(), Map.of()));
		this.aggregates = List.copyOf(next);
		this.aggregates.forEach((aggregate) -> replace(Map.of(), aggregate.load()));
		this.reports.replaceAll((daemon, report) -> {
			Report changed = new Report(report.millis, report.source, !isAggregated(daemon));
			replace(report.counted(), changed.counted());
			return changed;
		});
	}

	/**
	 * Returns the last reports of other daemons, including those that an aggregate
	 * replaces.
	 * @return the reports that have not expired
	 */
	public List<DaemonLoad> reports() {
		long oldest = this.clock.millis() - REPORT_LIFETIME.toMillis();
		return this.reports.values()
			.stream()
			.filter((report) -> report.millis >= oldest)
			.map((report) -> report.source)
			.toList();
	}

	/**
	 * Removes reports that are too old. Call it a few times a second.
	 */
	public synchronized void removeExpired() {
		long oldest = this.clock.millis() - REPORT_LIFETIME.toMillis();
		this.reports.values().removeIf((report) -> {
			boolean expired = report.millis < oldest;
			if (expired) {
				replace(report.counted(), Map.of());
			}
			return expired;
		});
	}

	@Override
	public synchronized RunnerLoad of(RunnerId runner) {
		return this.own.getOrDefault(runner, RunnerLoad.NONE).plus(this.others.getOrDefault(runner, RunnerLoad.NONE));
	}

	/**
	 * A runner or link on the path of a request.
	 *
	 * @param runner identifier of the runner, or of a link as returned by
	 * {@link LoadSource#linkId}
	 * @param layers number of layers that the request uses at the runner, 1 for a link or
	 * an application runner
	 */
	public record PathSegment(RunnerId runner, int layers) {

	}

	/**
	 * Load by the requests of one daemon, as it reported it.
	 *
	 * @param daemon name of the daemon
	 * @param incarnation number of its start
	 * @param sequence number of the report
	 * @param load load by identifier of the runner or link
	 */
	public record DaemonLoad(String daemon, long incarnation, long sequence, Map<RunnerId, RunnerLoad> load) {

		/**
		 * Copies the load.
		 * @param daemon name of the daemon
		 * @param incarnation number of its start
		 * @param sequence number of the report
		 * @param load load by identifier of the runner or link
		 */
		public DaemonLoad {
			load = Map.copyOf(load);
		}

	}

	/**
	 * Sum of the loads of several daemons.
	 *
	 * @param load load by identifier of the runner or link
	 * @param contains accepts the names of the daemons that are part of the sum
	 */
	public record Aggregate(Map<RunnerId, RunnerLoad> load, Predicate<String> contains) {

		/**
		 * Copies the load.
		 * @param load load by identifier of the runner or link
		 * @param contains accepts the names of the daemons that are part of the sum
		 */
		public Aggregate {
			load = Map.copyOf(load);
		}

	}

	/**
	 * Last report of a daemon.
	 *
	 * @param millis time at which it arrived
	 * @param source the report
	 * @param counts whether it counts, which it does not while an aggregate replaces it
	 */
	private record Report(long millis, DaemonLoad source, boolean counts) {

		private Map<RunnerId, RunnerLoad> counted() {
			return this.counts ? this.source.load() : Map.of();
		}

	}

}
