package io.bilberryvalve.standins.engine;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Load reports that are as old as configured.
 */
final class LoadMonitor {

	private static final double MILLIS_PER_SECOND = 1000;

	private final String runner;

	private final Clock clock;

	private final Duration lag;

	private final Source source;

	private final Deque<Report> samples = new ArrayDeque<>();

	private long lastDone;

	private Instant lastSampled;

	LoadMonitor(String runner, Clock clock, Duration lag, Source source) {
		this.runner = runner;
		this.clock = clock;
		this.lag = lag;
		this.source = source;
		this.lastSampled = clock.instant();
		sample();
	}

	/**
	 * Records the present load. It is called at short intervals.
	 */
	synchronized void sample() {
		Instant now = this.clock.instant();
		Sample present = this.source.read();
		double seconds = Duration.between(this.lastSampled, now).toMillis() / MILLIS_PER_SECOND;
		double rate = (seconds > 0) ? (present.doneTokens() - this.lastDone) / seconds : 0;
		this.lastDone = present.doneTokens();
		this.lastSampled = now;
		this.samples.add(new Report(this.runner, now.toEpochMilli(), present.queuedTokens(), present.running(), rate,
				present.kvFreeFraction(), present.state()));
		dropOld(now);
	}

	/**
	 * Returns the latest report that is as old as the lag, or the oldest one.
	 * @return the report
	 */
	synchronized Report report() {
		dropOld(this.clock.instant());
		return this.samples.element();
	}

	// Removes samples while the one after them is old enough to be reported.
	private void dropOld(Instant now) {
		long newest = now.minus(this.lag).toEpochMilli();
		while (this.samples.size() > 1
				&& this.samples.stream().skip(1).findFirst().orElseThrow().observedAtMillis() <= newest) {
			this.samples.remove();
		}
	}

	/**
	 * Reads the present load.
	 */
	@FunctionalInterface
	interface Source {

		/**
		 * Reads the present load.
		 * @return the load
		 */
		Sample read();

	}

	/**
	 * Load at an instant.
	 *
	 * @param queuedTokens token positions that wait or are not complete
	 * @param running streams that use the engine
	 * @param doneTokens token positions executed since the start
	 * @param kvFreeFraction free part of the prefix cache, 0 to 1
	 * @param state state of the engine
	 */
	record Sample(long queuedTokens, int running, long doneTokens, double kvFreeFraction, OrderBook.State state) {

	}

	/**
	 * The document of {@code GET /v1/load}.
	 *
	 * @param runner the runner
	 * @param observedAtMillis time of the observation in milliseconds since 1970
	 * @param queuedTokens token positions that wait or are not complete
	 * @param running streams that used the engine lately
	 * @param tokensPerSecond token positions executed a second since the report before
	 * @param kvFreeFraction free part of the prefix cache, 0 to 1
	 * @param state state of the engine
	 */
	public record Report(String runner, long observedAtMillis, long queuedTokens, int running, double tokensPerSecond,
			double kvFreeFraction, OrderBook.State state) {

	}

}
