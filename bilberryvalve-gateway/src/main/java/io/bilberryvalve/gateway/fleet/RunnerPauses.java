package io.bilberryvalve.gateway.fleet;

import java.time.Clock;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Tracks the runners that have asked this daemon to send nothing for some time, because
 * they are overloaded. In contrast to {@link RunnerAvailability}, a paused runner gets no
 * request even if no other runner is left. Safe for use by several threads without locks.
 */
public final class RunnerPauses {

	private static final System.Logger LOGGER = System.getLogger(RunnerPauses.class.getName());

	/**
	 * Longest pause, which limits the harm of an absurd value. A runner that needs longer
	 * asks again.
	 */
	static final long MAX_PAUSE_MILLIS = 300_000;

	private final Clock clock;

	private final Map<RunnerId, Pause> pauses = new ConcurrentHashMap<>();

	/**
	 * Creates a tracker without pauses.
	 * @param clock monotonic clock
	 */
	public RunnerPauses(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Pauses a runner. A pause that ends later stays as it is.
	 * @param runner entry of the runner
	 * @param millis time from now in milliseconds for which it wants no requests
	 * @return whether the runner was not paused before
	 */
	public boolean pause(ListedRunner runner, long millis) {
		long now = this.clock.millis();
		long until = now + Math.min(MAX_PAUSE_MILLIS, millis);
		this.pauses.values().removeIf((pause) -> now >= pause.until);
		Pause next = new Pause(runner.startedMillis(), until, new AtomicBoolean());
		Pause current = this.pauses.merge(runner.id(), next, Pause::longer);
		if (current != next) {
			return false;
		}
		LogEvent.of("runner-paused")
			.with("runner", runner.id())
			.with("millis", until - now)
			.log(LOGGER, System.Logger.Level.INFO);
		return true;
	}

	/**
	 * Returns whether a runner is paused.
	 * @param runner entry of the runner; a later start with the same identifier is not
	 * paused
	 * @return whether it must get no requests now
	 */
	public boolean isPaused(ListedRunner runner) {
		return remainingMillis(runner) > 0;
	}

	/**
	 * Returns how long a runner is still paused.
	 * @param runner entry of the runner
	 * @return milliseconds, 0 if it is not paused
	 */
	public long remainingMillis(ListedRunner runner) {
		Pause pause = this.pauses.get(runner.id());
		return (pause != null && pause.startedMillis == runner.startedMillis())
				? Math.max(0, pause.until - this.clock.millis()) : 0;
	}

	/**
	 * Returns whether a runner may be probed. A paused runner is probed once at most in
	 * each pause.
	 * @param runner entry of the runner
	 * @return whether to probe it; a probe is taken as sent
	 */
	public boolean tryProbe(ListedRunner runner) {
		Pause pause = this.pauses.get(runner.id());
		return pause == null || !isPaused(runner) || pause.probed.compareAndSet(false, true);
	}

	/**
	 * Returns whether no runner was paused recently.
	 * @return {@code true} if there is no pause, not even one that has ended
	 */
	public boolean isEmpty() {
		return this.pauses.isEmpty();
	}

	/**
	 * Returns the times after which pauses end.
	 * @return milliseconds from now, the first end first; empty if no runner is paused
	 */
	public long[] remainingMillis() {
		long now = this.clock.millis();
		return this.pauses.values()
			.stream()
			.mapToLong((pause) -> pause.until - now)
			.filter((millis) -> millis > 0)
			.sorted()
			.distinct()
			.toArray();
	}

	/**
	 * A pause.
	 *
	 * @param startedMillis time of the start of the runner, as listed
	 * @param until end of the pause on the clock of the tracker
	 * @param probed whether the runner was probed in this pause
	 */
	private record Pause(long startedMillis, long until, AtomicBoolean probed) {

		Pause longer(Pause other) {
			if (other.startedMillis != this.startedMillis) {
				return other;
			}
			return (other.until > this.until) ? new Pause(this.startedMillis, other.until, this.probed) : this;
		}

	}

}
