package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Which runners are avoided after failures. Answers runners that are dead, cut off, slow
 * or failing while the list still calls them ready: each failure in a row doubles the
 * time for which a runner is avoided, and the first request after that time tries it
 * again. Safe for use by several threads.
 */
public final class Trust {

	private static final System.Logger LOGGER = System.getLogger(Trust.class.getName());

	/** Time after the first failure; about the time of one pause of a stalled stream. */
	private static final long FIRST_MILLIS = 500;

	/** Longest time; a runner that recovers is found again within it. */
	private static final long LONGEST_MILLIS = 8000;

	private static final int MAX_DOUBLINGS = 4;

	private final Clock clock;

	private final Map<RunnerId, Failures> records = new ConcurrentHashMap<>();

	/**
	 * Creates a record without failures.
	 * @param clock monotonic clock
	 */
	public Trust(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Notes a failure.
	 * @param runner the runner
	 * @param reason what happened
	 */
	public void failed(RunnerId runner, String reason) {
		long now = this.clock.millis();
		Failures before = this.records.get(runner);
		if (before != null && now < before.until) {
			return;
		}
		int doublings = (before != null) ? Math.min(before.count, MAX_DOUBLINGS) : 0;
		long time = Math.min(FIRST_MILLIS << doublings, LONGEST_MILLIS);
		Failures next = new Failures(((before != null) ? before.count : 0) + 1, now + time);
		this.records.put(runner, next);
		LogEvent.of("runner-avoided")
			.with("runner", runner)
			.with("reason", reason)
			.with("failures", next.count)
			.with("millis", time)
			.log(LOGGER, System.Logger.Level.INFO);
	}

	/**
	 * Notes a success.
	 * @param runner the runner
	 */
	public void succeeded(RunnerId runner) {
		Failures record = this.records.get(runner);
		if (record != null && this.clock.millis() >= record.until) {
			this.records.remove(runner, record);
		}
	}

	/**
	 * Tells whether a runner should get requests.
	 * @param runner the runner
	 * @return whether it is not avoided now
	 */
	public boolean trusted(RunnerId runner) {
		Failures record = this.records.get(runner);
		return record == null || this.clock.millis() >= record.until;
	}

	private record Failures(int count, long until) {

	}

}
