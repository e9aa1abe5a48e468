package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Tracks which runners are avoided after failures and while they change their layers. It
 * covers runners that are dead, cut off, slow or failing while they are still listed as
 * ready. Each consecutive failure doubles the time for which a runner is avoided, and the
 * first request after that time tries it again. Safe for use by several threads.
 */
public final class RunnerAvailability {

	private static final System.Logger LOGGER = System.getLogger(RunnerAvailability.class.getName());

	/**
	 * Backoff after the first failure; about as long as one pause of a stalled stream.
	 */
	private static final long INITIAL_BACKOFF_MILLIS = 500;

	/** Longest backoff; a runner that recovers gets requests again within it. */
	private static final long MAX_BACKOFF_MILLIS = 8000;

	private static final int MAX_DOUBLINGS = 4;

	/**
	 * Time for which a runner counts as lost. A silent runner is dropped from the list
	 * after about the same time, and one that comes back is tried again after it.
	 */
	private static final long LOST_MILLIS = 3000;

	/**
	 * Time for which a report of another daemon counts; daemons report several times in
	 * it.
	 */
	private static final long REPORT_LIFETIME_MILLIS = 1000;

	private final Clock clock;

	private final Map<RunnerId, Failures> failures = new ConcurrentHashMap<>();

	private final Map<RunnerId, Loss> losses = new ConcurrentHashMap<>();

	private final Map<String, Report> reports = new ConcurrentHashMap<>();

	private final RecentRefusals refusals;

	private volatile Set<RunnerId> changing = Set.of();

	/**
	 * Creates a tracker without failures.
	 * @param clock monotonic clock
	 */
	public RunnerAvailability(Clock clock) {
		this.clock = clock;
		this.refusals = new RecentRefusals(clock);
	}

	/**
	 * Returns the runners that refused a request of this daemon recently. They still
	 * count as usable.
	 * @return the tracker of refusals
	 */
	public RecentRefusals refusals() {
		return this.refusals;
	}

	/**
	 * Records a failure. It has no effect while the runner is avoided already, so that
	 * one event reported by many requests counts once.
	 * @param runner identifier of the runner
	 * @param reason cause of the failure, for the log
	 */
	public void recordFailure(RunnerId runner, String reason) {
		long now = this.clock.millis();
		Failures before = this.failures.get(runner);
		if (before != null && now < before.until) {
			return;
		}
		int doublings = (before != null) ? Math.min(before.count, MAX_DOUBLINGS) : 0;
		long time = Math.min(INITIAL_BACKOFF_MILLIS << doublings, MAX_BACKOFF_MILLIS);
		Failures next = new Failures(((before != null) ? before.count : 0) + 1, now + time);
		this.failures.put(runner, next);
		LogEvent.of("runner-avoided")
			.with("runner", runner)
			.with("reason", reason)
			.with("failures", next.count)
			.with("millis", time)
			.log(LOGGER, System.Logger.Level.INFO);
	}

	/**
	 * Records that a runner is dead or cut off: another runner waits for it without an
	 * answer, or its address refuses connections.
	 * @param runner entry of the runner
	 * @param reason cause of the failure, for the log
	 */
	public void markLost(ListedRunner runner, String reason) {
		recordFailure(runner.id(), reason);
		this.losses.put(runner.id(), new Loss(runner.startedMillis(), this.clock.millis()));
	}

	/**
	 * Applies the report of another daemon, which replaces its previous one.
	 * @param daemon name of the daemon
	 * @param lost runners that it found lost
	 * @param changing runners that it ordered to drop layers
	 */
	public void applyReport(String daemon, Set<RunnerId> lost, Set<RunnerId> changing) {
		applyReport(daemon, lost, changing, REPORT_LIFETIME_MILLIS);
	}

	/**
	 * Applies a report, which replaces the previous one of the same source.
	 * @param source name of the daemon, or of the summary of several daemons
	 * @param lost runners that were found lost
	 * @param changing runners that were ordered to drop layers
	 * @param lifetimeMillis time in milliseconds for which the report counts; shorter for
	 * a summary, which contains reports of some age
	 */
	public void applyReport(String source, Set<RunnerId> lost, Set<RunnerId> changing, long lifetimeMillis) {
		long now = this.clock.millis();
		this.reports.values().removeIf((report) -> report.until < now);
		if (lost.isEmpty() && changing.isEmpty()) {
			this.reports.remove(source);
		}
		else {
			this.reports.put(source, new Report(now, now + lifetimeMillis, lost, changing));
		}
	}

	/**
	 * Returns what some sources have reported lately.
	 * @param sources accepts the names of the sources
	 * @param maxAgeMillis largest age of a report in milliseconds
	 * @return the runners in these reports
	 */
	public ReportedRunners reported(Predicate<String> sources, long maxAgeMillis) {
		long oldest = this.clock.millis() - maxAgeMillis;
		Set<RunnerId> lost = new HashSet<>();
		Set<RunnerId> changing = new HashSet<>();
		this.reports.forEach((source, report) -> {
			if (report.at >= oldest && sources.test(source)) {
				lost.addAll(report.lost);
				changing.addAll(report.changing);
			}
		});
		return new ReportedRunners(lost, changing);
	}

	/**
	 * Sets the runners that this daemon ordered to drop layers. They refuse requests for
	 * these layers although they are still listed with them.
	 * @param runners identifiers of all such runners
	 * @return whether there are any that were not set before
	 */
	public boolean setChanging(Set<RunnerId> runners) {
		boolean added = !this.changing.containsAll(runners);
		this.changing = Set.copyOf(runners);
		return added;
	}

	/**
	 * Returns the runners that this daemon ordered to drop layers.
	 * @return identifiers of the runners, as last set
	 */
	public Set<RunnerId> changingRunners() {
		return this.changing;
	}

	/**
	 * Returns the runners that this daemon found lost.
	 * @return identifiers of those that still count as lost
	 */
	public Set<RunnerId> lostRunners() {
		long oldest = this.clock.millis() - LOST_MILLIS;
		this.losses.values().removeIf((loss) -> loss.at < oldest);
		return Set.copyOf(this.losses.keySet());
	}

	/**
	 * Returns whether this or another daemon found a runner lost.
	 * @param runner entry of the runner; if this daemon found it lost, a later start with
	 * the same identifier does not count as lost
	 * @return whether it should be replaced
	 */
	public boolean isLost(ListedRunner runner) {
		Loss loss = this.losses.get(runner.id());
		boolean own = loss != null && loss.started == runner.startedMillis()
				&& this.clock.millis() - loss.at < LOST_MILLIS;
		return own || isReported(runner.id());
	}

	private boolean isReported(RunnerId runner) {
		long now = this.clock.millis();
		return !this.reports.isEmpty() && this.reports.values()
			.stream()
			.anyMatch((report) -> report.until >= now && report.lost.contains(runner));
	}

	/**
	 * Records a success, which ends a loss and, once the backoff has passed, clears the
	 * failures.
	 * @param runner identifier of the runner
	 */
	public void recordSuccess(RunnerId runner) {
		this.losses.remove(runner);
		Failures record = this.failures.get(runner);
		if (record != null && this.clock.millis() >= record.until) {
			this.failures.remove(runner, record);
		}
	}

	/**
	 * Returns whether a runner should get requests.
	 * @param runner identifier of the runner
	 * @return whether it is neither avoided nor lost nor changing its layers
	 */
	public boolean isUsable(RunnerId runner) {
		return usableRunners().test(runner);
	}

	/**
	 * Returns which runners should get requests now. A search over many runners uses this
	 * in place of {@link #isUsable}, so that the reports of other daemons are read once.
	 * @return accepts the runners that are neither avoided nor lost nor changing their
	 * layers at the time of this call
	 */
	public Predicate<RunnerId> usableRunners() {
		long now = this.clock.millis();
		Set<RunnerId> reported = reportedRunners(now);
		return (runner) -> {
			Failures record = this.failures.get(runner);
			Loss loss = this.losses.get(runner);
			boolean avoided = (record != null && now < record.until) || (loss != null && now - loss.at < LOST_MILLIS);
			return !avoided && !this.changing.contains(runner) && !reported.contains(runner);
		};
	}

	private Set<RunnerId> reportedRunners(long now) {
		Set<RunnerId> reported = new HashSet<>();
		for (Report report : this.reports.values()) {
			if (report.until >= now) {
				reported.addAll(report.lost);
				reported.addAll(report.changing);
			}
		}
		return reported;
	}

	/**
	 * A runner that was found lost.
	 *
	 * @param started time of its start, as listed
	 * @param at time at which it was found lost, in milliseconds
	 */
	private record Loss(long started, long at) {

	}

	/**
	 * Runners that other daemons reported.
	 *
	 * @param lost runners that they found lost
	 * @param changing runners that they ordered to drop layers
	 */
	public record ReportedRunners(Set<RunnerId> lost, Set<RunnerId> changing) {

		/**
		 * Copies the runners.
		 * @param lost runners that they found lost
		 * @param changing runners that they ordered to drop layers
		 */
		public ReportedRunners {
			lost = Set.copyOf(lost);
			changing = Set.copyOf(changing);
		}

	}

	/**
	 * Report of another daemon.
	 *
	 * @param at time at which the report arrived, in milliseconds
	 * @param until time up to which it counts
	 * @param lost runners that it found lost
	 * @param changing runners that it ordered to drop layers
	 */
	private record Report(long at, long until, Set<RunnerId> lost, Set<RunnerId> changing) {

	}

	private record Failures(int count, long until) {

	}

}
