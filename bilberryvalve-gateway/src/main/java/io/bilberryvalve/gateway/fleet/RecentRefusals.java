package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Tracks which runners refused a request of this daemon recently, so that the next
 * requests are sent to others. In contrast to a failure, a refusal is no sign of a fault:
 * the runner is avoided for a short fixed time only. Safe for use by several threads
 * without locks.
 */
public final class RecentRefusals {

	private static final System.Logger LOGGER = System.getLogger(RecentRefusals.class.getName());

	/**
	 * Time for which a runner is avoided after a refusal; about the age of a load report,
	 * which then shows the load that caused the refusal.
	 */
	static final long AVOID_MILLIS = 250;

	/** Shortest time between two log lines about the same runner. */
	private static final long LOG_INTERVAL_MILLIS = 2000;

	private final Clock clock;

	private final Map<RunnerId, Refusals> refusals = new ConcurrentHashMap<>();

	/**
	 * Creates a tracker without refusals.
	 * @param clock monotonic clock
	 */
	RecentRefusals(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records that a runner refused a request, which it did not run.
	 * @param runner identifier of the runner
	 * @param status status of the response
	 */
	public void record(RunnerId runner, int status) {
		long now = this.clock.millis();
		Refusals before = this.refusals.get(runner);
		boolean logged = before == null || now - before.loggedAt >= LOG_INTERVAL_MILLIS;
		int unlogged = (before != null) ? before.unlogged + 1 : 1;
		this.refusals.put(runner, new Refusals(now, logged ? now : before.loggedAt, logged ? 0 : unlogged));
		if (logged) {
			LogEvent.of("runner-refused")
				.with("runner", runner)
				.with("status", status)
				.with("refusals", unlogged)
				.with("millis", AVOID_MILLIS)
				.log(LOGGER, System.Logger.Level.INFO);
		}
	}

	/**
	 * Returns whether a runner refused a request recently.
	 * @param runner identifier of the runner
	 * @return whether other runners should be preferred
	 */
	public boolean isRecent(RunnerId runner) {
		Refusals last = this.refusals.get(runner);
		return last != null && this.clock.millis() - last.at < AVOID_MILLIS;
	}

	/**
	 * Returns whether any runner refused a request recently.
	 * @return whether {@link #isRecent} holds for at least one runner
	 */
	public boolean isAnyRecent() {
		return !this.refusals.isEmpty() && count() > 0;
	}

	/**
	 * Counts the runners that refused a request recently.
	 * @return number of runners
	 */
	public int count() {
		long now = this.clock.millis();
		return (int) this.refusals.values().stream().filter((last) -> now - last.at < AVOID_MILLIS).count();
	}

	/**
	 * Removes the state of runners that are no longer known.
	 * @param fleet the runners that are known now
	 */
	public void retain(FleetSnapshot fleet) {
		this.refusals.keySet().removeIf((id) -> fleet.find(id).isEmpty());
	}

	/**
	 * Refusals of a runner.
	 *
	 * @param at time of the last one, in milliseconds
	 * @param loggedAt time of the last log line, in milliseconds
	 * @param unlogged number of refusals since that line
	 */
	private record Refusals(long at, long loggedAt, int unlogged) {

	}

}
