package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Which runners are avoided after failures and while they change their layers. Answers
 * runners that are dead, cut off, slow or failing while the list still calls them ready:
 * each failure in a row doubles the time for which a runner is avoided, and the first
 * request after that time tries it again. Safe for use by several threads.
 */
public final class RunnerAvailability {

	private static final System.Logger LOGGER = System.getLogger(RunnerAvailability.class.getName());

	/** Time after the first failure; about the time of one pause of a stalled stream. */
	private static final long INITIAL_BACKOFF_MILLIS = 500;

	/** Longest time; a runner that recovers is found again within it. */
	private static final long MAX_BACKOFF_MILLIS = 8000;

	private static final int MAX_DOUBLINGS = 4;

	/**
	 * Time for which a runner counts as lost. The list drops a silent runner after about
	 * as long, and one that comes back is tried again then.
	 */
	private static final long LOST_MILLIS = 3000;

	/**
	 * What another daemon reported counts for this time; it reports several times in it.
	 */
	private static final long REPORT_LIFETIME_MILLIS = 1000;

	private final Clock clock;

	private final Map<RunnerId, Failures> failures = new ConcurrentHashMap<>();

	private final Map<RunnerId, Loss> losses = new ConcurrentHashMap<>();

	private final Map<String, Report> reports = new ConcurrentHashMap<>();

	private volatile Set<RunnerId> changing = Set.of();

	/**
	 * Creates a record without failures.
	 * @param clock monotonic clock
	 */
	public RunnerAvailability(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Notes a failure.
	 * @param runner the runner
	 * @param reason what happened
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
	 * Notes that a runner is dead or cut off: another one waits for it in vain, or its
	 * address refuses connections.
	 * @param runner the runner
	 * @param reason what happened
	 */
	public void markLost(ListedRunner runner, String reason) {
		recordFailure(runner.id(), reason);
		this.losses.put(runner.id(), new Loss(runner.startedMillis(), this.clock.millis()));
	}

	/**
	 * Takes the runners that another daemon found lost or ordered to change.
	 * @param daemon name of the daemon
	 * @param lost runners that it found lost
	 * @param changing runners that it ordered to give up layers
	 */
	public void applyReport(String daemon, Set<RunnerId> lost, Set<RunnerId> changing) {
		if (lost.isEmpty() && changing.isEmpty()) {
			this.reports.remove(daemon);
		}
		else {
			this.reports.put(daemon, new Report(this.clock.millis(), lost, changing));
		}
	}

	/**
	 * Sets the runners that this daemon ordered to give up layers. They refuse requests
	 * for these layers, though the list still names them there.
	 * @param runners the runners
	 * @return whether some of them are new
	 */
	public boolean setChanging(Set<RunnerId> runners) {
		boolean news = !this.changing.containsAll(runners);
		this.changing = Set.copyOf(runners);
		return news;
	}

	/**
	 * Returns the runners that this daemon ordered to give up layers.
	 * @return the runners
	 */
	public Set<RunnerId> changingRunners() {
		return this.changing;
	}

	/**
	 * Returns the runners that this daemon found lost.
	 * @return runners for which that still counts
	 */
	public Set<RunnerId> lostRunners() {
		long oldest = this.clock.millis() - LOST_MILLIS;
		this.losses.values().removeIf((loss) -> loss.at < oldest);
		return Set.copyOf(this.losses.keySet());
	}

	/**
	 * Tells whether this or another daemon found a runner lost.
	 * @param runner the runner; a later start of it under the same name is not lost
	 * @return whether it should be replaced
	 */
	public boolean isLost(ListedRunner runner) {
		Loss loss = this.losses.get(runner.id());
		boolean own = loss != null && loss.started == runner.startedMillis()
				&& this.clock.millis() - loss.at < LOST_MILLIS;
		return own || isReported(runner.id());
	}

	private boolean isReported(RunnerId runner) {
		return anyReport((report) -> report.markUnreachable.contains(runner));
	}

	private boolean anyReport(Predicate<Report> condition) {
		long oldest = this.clock.millis() - REPORT_LIFETIME_MILLIS;
		return !this.reports.isEmpty()
				&& this.reports.values().stream().anyMatch((report) -> report.at >= oldest && condition.test(report));
	}

	/**
	 * Notes a success.
	 * @param runner the runner
	 */
	public void recordSuccess(RunnerId runner) {
		this.losses.remove(runner);
		Failures record = this.failures.get(runner);
		if (record != null && this.clock.millis() >= record.until) {
			this.failures.remove(runner, record);
		}
	}

	/**
	 * Tells whether a runner should get requests.
	 * @param runner the runner
	 * @return whether it is not avoided now
	 */
	public boolean isUsable(RunnerId runner) {
		Failures record = this.failures.get(runner);
		Loss loss = this.losses.get(runner);
		long now = this.clock.millis();
		boolean avoided = (record != null && now < record.until) || (loss != null && now - loss.at < LOST_MILLIS);
		return !avoided && !this.changing.contains(runner)
				&& !anyReport((report) -> report.markUnreachable.contains(runner) || report.changing.contains(runner));
	}

	/**
	 * A runner that was found lost.
	 *
	 * @param started its start
	 * @param at when it was found lost
	 */
	private record Loss(long started, long at) {

	}

	/**
	 * What another daemon reported.
	 *
	 * @param at when the report came
	 * @param markUnreachable runners that it found lost
	 * @param changing runners that it ordered to give up layers
	 */
	private record Report(long at, Set<RunnerId> markUnreachable, Set<RunnerId> changing) {

	}

	private record Failures(int count, long until) {

	}

}
