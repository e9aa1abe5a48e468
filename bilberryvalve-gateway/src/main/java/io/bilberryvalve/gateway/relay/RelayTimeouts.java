package io.bilberryvalve.gateway.relay;

import io.bilberryvalve.gateway.route.RequestKind;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.policy.queue.WaitQueue;

/**
 * Limits how long requests wait for slots, and decides after which silence a request
 * counts as stalled. The wait limits serve bursts above the capacity: a request that
 * cannot get a slot in time is rejected early, so that its caller can retry when slots
 * are free. The stall times serve the loss of runners while streams pass through them.
 */
final class RelayTimeouts {

	/** Silence in milliseconds below which a request is not checked for a stall. */
	static final long MIN_SILENCE_MILLIS = 100;

	/**
	 * Shortest silence of a stream that counts as a stall; usual pauses of engines are
	 * shorter.
	 */
	private static final long MIN_STALL_MILLIS = 600;

	/**
	 * Shortest silence before the first event that counts as a stall. It is longer,
	 * because the prompt may wait in the engine before it is processed.
	 */
	private static final long MIN_FIRST_EVENT_STALL_MILLIS = 1100;

	/** Factor of the target gap between events after which a stream counts as stalled. */
	private static final double STALL_GAP_FACTOR = 2.5;

	/**
	 * Factor of the target latency after which a plain request counts as stalled; an
	 * idempotent one is then repeated.
	 */
	private static final double STALL_LATENCY_FACTOR = 2.5;

	/**
	 * Fraction of the target latency within which a request must get its slot to be
	 * answered on time.
	 */
	private static final double ON_TIME_FRACTION = 0.6;

	/**
	 * Longest wait of a stream for a slot; callers disconnect after 2 s without an event.
	 */
	private static final long MAX_STREAM_WAIT_MILLIS = 1000;

	/** Fraction of its time limit that a plain request may wait for a slot. */
	private static final double PLAIN_WAIT_FRACTION = 0.5;

	private RelayTimeouts() {
	}

	/**
	 * Returns how long a new request may wait for a slot.
	 * @param route its route
	 * @param arrivedAt time of its arrival in milliseconds
	 * @param deadlineAt time in milliseconds at which its time limit ends
	 * @return until when an answer can be on time, and when to reject the request
	 */
	static WaitQueue.WaitLimits waitLimits(Route route, long arrivedAt, long deadlineAt) {
		long onTimeUntil = arrivedAt + Math.round(route.targetLatency().toMillis() * ON_TIME_FRACTION);
		long latest = (route.kind() == RequestKind.STREAMING) ? arrivedAt + MAX_STREAM_WAIT_MILLIS
				: arrivedAt + Math.round((deadlineAt - arrivedAt) * PLAIN_WAIT_FRACTION);
		return new WaitQueue.WaitLimits(onTimeUntil, Math.min(deadlineAt, latest));
	}

	/**
	 * Returns how long an interrupted stream may wait for a slot to resume.
	 * @param now the time in milliseconds
	 * @param deadlineAt time in milliseconds at which its time limit ends
	 * @return limits that count the stream as on time until its deadline, so that it
	 * precedes requests that are late
	 */
	static WaitQueue.WaitLimits resumedWaitLimits(long now, long deadlineAt) {
		return new WaitQueue.WaitLimits(deadlineAt, Math.min(deadlineAt, now + MAX_STREAM_WAIT_MILLIS));
	}

	/**
	 * Returns the silence after which a request counts as stalled.
	 * @param route the route
	 * @param firstEventReceived whether the first event of the stream has arrived;
	 * ignored for plain requests
	 * @return milliseconds
	 */
	static long stallMillis(Route route, boolean firstEventReceived) {
		if (route.kind() != RequestKind.STREAMING) {
			return Math.round(route.targetLatency().toMillis() * STALL_LATENCY_FACTOR);
		}
		long gap = Math.max(MIN_STALL_MILLIS, Math.round(route.targetGap().toMillis() * STALL_GAP_FACTOR));
		return firstEventReceived ? gap : Math.max(gap, MIN_FIRST_EVENT_STALL_MILLIS);
	}

}
