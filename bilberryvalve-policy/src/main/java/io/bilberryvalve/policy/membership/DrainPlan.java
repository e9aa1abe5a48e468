package io.bilberryvalve.policy.membership;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;

import org.jspecify.annotations.Nullable;

/**
 * State machine of the graceful shutdown of an entry: it leaves the entry lists, accepts
 * requests while callers may still use an old list, then refuses new requests, and stops
 * after the last reply. Requests in progress are never interrupted; their own deadlines
 * bound the drain. Not safe for use by several threads.
 */
public final class DrainPlan {

	/**
	 * Time within which all entries learn that this one leaves; lists returned to callers
	 * until then may still contain it.
	 */
	public static final Duration ANNOUNCEMENT_TIME = Duration.ofSeconds(1);

	private final Clock clock;

	private final Duration leavingTime;

	private @Nullable Instant begunAt;

	private Phase phase = Phase.SERVING;

	/**
	 * Creates a plan that has not begun.
	 * @param clock clock of the phases
	 * @param listTime time for which callers may use an entry list
	 */
	public DrainPlan(Clock clock, Duration listTime) {
		this.clock = clock;
		this.leavingTime = listTime.plus(ANNOUNCEMENT_TIME);
	}

	/**
	 * Begins the drain. Later calls have no effect.
	 * @param listed whether callers may have this entry in their lists; if not, new
	 * requests are refused at once
	 * @return phase of the drain after the call
	 */
	public Phase begin(boolean listed) {
		if (this.begunAt == null) {
			this.begunAt = this.clock.instant();
			this.phase = listed ? Phase.LEAVING : Phase.REFUSING;
		}
		return this.phase;
	}

	/**
	 * Advances the drain by at most one phase. The caller must put the returned phase
	 * into effect before it counts the requests for the next call, so that no request
	 * starts in between.
	 * @param active number of requests in progress
	 * @return phase of the drain after the call
	 */
	public Phase advance(int active) {
		if (this.phase == Phase.LEAVING && !this.clock.instant().isBefore(this.begunAt.plus(this.leavingTime))) {
			this.phase = Phase.REFUSING;
		}
		else if (this.phase == Phase.REFUSING && active == 0) {
			this.phase = Phase.STOPPED;
		}
		return this.phase;
	}

	/**
	 * Phase of a drain.
	 */
	public enum Phase {

		/** The drain has not begun. */
		SERVING,

		/** Requests are accepted, but new entry lists no longer contain this entry. */
		LEAVING,

		/** New requests are refused; those in progress continue. */
		REFUSING,

		/** The last request has ended. */
		STOPPED

	}

}
