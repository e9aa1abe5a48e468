package io.bilberryvalve.policy.path;

import java.time.Clock;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Predicate;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Estimates how much slower runners are than their profile says, from the time between
 * the events of streams. A runner counts as slow while the least ratio of measured to
 * expected time over the recent streams through it is high; streams on other paths clear
 * a healthy runner that shares a path with a slow one. An estimate without samples
 * expires, after which one request at a time tries the runner. Safe for use by several
 * threads.
 */
public final class PaceEstimator {

	private static final System.Logger LOGGER = System.getLogger(PaceEstimator.class.getName());

	/**
	 * Least ratio of measured to expected time of a slow runner. Below it, the difference
	 * may come from the load, which varies the time of a step.
	 */
	public static final double SLOW_RATIO = 1.5;

	/** Time without samples after which an estimate expires. */
	static final long LIFETIME_MILLIS = 3000;

	/**
	 * Shortest time over which events of a stream are counted for one sample; a few
	 * events of a healthy path.
	 */
	static final long SAMPLE_MILLIS = 250;

	/**
	 * Least time of a runner on a path, as a fraction of that of the runner with the
	 * longest time, for which a stream gives it a sample.
	 */
	private static final double MIN_SHARE = 0.5;

	/** Most log lines in a second. */
	private static final int MAX_LOGS_PER_SECOND = 10;

	private static final long MILLIS_PER_SECOND = 1000;

	private final Clock clock;

	private final Map<RunnerId, RunnerPace> paces = new ConcurrentHashMap<>();

	/** Runners that count as slow, including those whose estimate has expired. */
	private final Set<RunnerId> slow = ConcurrentHashMap.newKeySet();

	private long logSecond;

	private int logsInSecond;

	private int omittedLogs;

	/**
	 * Creates an estimator without samples.
	 * @param clock monotonic clock
	 */
	public PaceEstimator(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Starts to measure a stream that has had its first event.
	 * @param path path of the stream
	 * @return measurement of the stream
	 */
	public StreamPace track(LayerPath path) {
		return new StreamPace(path, this.clock.millis());
	}

	/**
	 * Returns whether any runner counts as slow.
	 * @return whether {@link #slowdown} may return more than 1
	 */
	public boolean hasSlowRunners() {
		return !this.slow.isEmpty();
	}

	/**
	 * Returns how many runners count as slow.
	 * @return number of runners, including those that wait to be tried again
	 */
	public int slowCount() {
		return this.slow.size();
	}

	/**
	 * Returns the slowdown of a runner for a choice.
	 * @param runner identifier of the runner
	 * @return factor by which it is slower than its profile says; 1 if it is not slow, or
	 * if its estimate has expired and it should be tried
	 */
	public double slowdown(RunnerId runner) {
		RunnerPace pace = this.slow.contains(runner) ? this.paces.get(runner) : null;
		return (pace != null) ? pace.slowdown(this.clock.millis()) : 1;
	}

	/**
	 * Records that a request is sent on a path. If it tries a slow runner whose estimate
	 * has expired, other requests avoid that runner until the result is known.
	 * @param path path of the request
	 */
	public void recordChoice(LayerPath path) {
		if (this.slow.isEmpty()) {
			return;
		}
		long now = this.clock.millis();
		for (LayerPath.Hop hop : path.hops()) {
			RunnerPace pace = this.slow.contains(hop.runner()) ? this.paces.get(hop.runner()) : null;
			if (pace != null && pace.startTrial(now)) {
				log(pace.event("slow-runner-tried", hop.runner(), now), now);
			}
		}
	}

	/**
	 * Removes the estimates of runners that are no longer known.
	 * @param known accepts the runners that are known
	 */
	public void retain(Predicate<RunnerId> known) {
		this.paces.keySet().removeIf(known.negate());
		this.slow.removeIf(known.negate());
	}

	// Divides the excess time of a path among the slow runners on it, if any are known. A
	// runner with a small share of the time gets no sample, since the ratio would stay
	// low
	// even if it were slow.
	private void record(LayerPath path, double ratio, long now) {
		double slowMillis = 0;
		double longestMillis = 0;
		for (LayerPath.Hop hop : path.hops()) {
			slowMillis += this.slow.contains(hop.runner()) ? hop.eventMillis() : 0;
			longestMillis = Math.max(longestMillis, hop.eventMillis());
		}
		double slowdown = (slowMillis > 0) ? 1 + (ratio - 1) * path.eventMillis() / slowMillis
				: Double.POSITIVE_INFINITY;
		for (LayerPath.Hop hop : path.hops()) {
			if (hop.eventMillis() >= MIN_SHARE * longestMillis) {
				record(hop.runner(), ratio, slowdown, now);
			}
		}
	}

	private void record(RunnerId runner, double ratio, double slowdown, long now) {
		RunnerPace pace = this.paces.computeIfAbsent(runner, (id) -> new RunnerPace());
		boolean isSlow = pace.record(ratio, slowdown, now);
		if (isSlow ? this.slow.add(runner) : this.slow.remove(runner)) {
			log(pace.event(isSlow ? "runner-slow" : "runner-not-slow", runner, now), now);
		}
	}

	private synchronized void log(LogEvent event, long now) {
		long second = now / MILLIS_PER_SECOND;
		this.logsInSecond = (second == this.logSecond) ? this.logsInSecond + 1 : 1;
		this.logSecond = second;
		if (this.logsInSecond > MAX_LOGS_PER_SECOND) {
			this.omittedLogs++;
			return;
		}
		event.with("omitted", this.omittedLogs).log(LOGGER, System.Logger.Level.INFO);
		this.omittedLogs = 0;
	}

	/**
	 * Measurement of one stream. Not safe for use by several threads.
	 */
	public final class StreamPace {

		private final LayerPath path;

		private long since;

		private int events;

		private StreamPace(LayerPath path, long now) {
			this.path = path;
			this.since = now;
		}

		/** Records an event; its time is that of the next {@link #update}. */
		public void recordEvent() {
			this.events++;
		}

		/**
		 * Updates the measurement after the events that have arrived together.
		 * @param now present time on the clock of the estimator, in milliseconds
		 * @param validSince start of the time in which this daemon was not paused, in
		 * milliseconds
		 */
		public void update(long now, long validSince) {
			boolean justStarted = now == this.since;
			if (justStarted || this.since < validSince) {
				restart(now);
			}
			else if (this.events > 0 && now - this.since >= SAMPLE_MILLIS) {
				double expected = this.events * this.path.eventMillis();
				if (expected > 0) {
					PaceEstimator.this.record(this.path, (now - this.since) / expected, now);
				}
				restart(now);
			}
		}

		private void restart(long now) {
			this.since = now;
			this.events = 0;
		}

	}

}
