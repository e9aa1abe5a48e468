package io.bilberryvalve.gateway.relay;

import io.bilberryvalve.gateway.route.RequestKind;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.policy.line.WaitingLine;

/**
 * How long requests wait for a place, and which silence of a runner counts as a stall.
 * Answers bursts above the capacity, in which waiting in vain would keep callers from
 * returning at a better time, and runners that are lost while streams pass them.
 */
final class RelayTimeouts {

	/** Silence below the interval of the checks needs no look. */
	static final long MIN_SILENCE_MILLIS = 100;

	/** Shortest silence of a stream that counts as a stall; engines pause for less. */
	private static final long MIN_STALL_MILLIS = 600;

	/**
	 * Silence before the first event; prompts wait in the engine for some of this time.
	 */
	private static final long FIRST_EVENT_STALL_MILLIS = 1100;

	/** Multiple of the target gap that counts as a stall. */
	private static final double STALL_GAP_FACTOR = 2.5;

	/** Multiple of the target latency after which an idempotent request is repeated. */
	private static final double STALL_LATENCY_FACTOR = 2.5;

	/** Share of the target latency within which a place leads to an answer on time. */
	private static final double ON_TIME_FRACTION = 0.6;

	/** Longest wait of a stream for a place; callers leave after 2 s without an event. */
	private static final long MAX_STREAM_WAIT_MILLIS = 1000;

	/** Part of the caller's time that a plain request may wait for a place. */
	private static final double PLAIN_WAIT_FRACTION = 0.5;

	private RelayTimeouts() {
	}

	/**
	 * Returns how long a new request may wait for a place.
	 * @param route its route
	 * @param arrived when it arrived, in milliseconds
	 * @param endAt its time limit, in milliseconds
	 * @return its patience
	 */
	static WaitingLine.Patience waitLimits(Route route, long arrived, long endAt) {
		long onTime = arrived + Math.round(route.targetLatency().toMillis() * ON_TIME_FRACTION);
		long most = (route.kind() == RequestKind.STREAMING) ? arrived + MAX_STREAM_WAIT_MILLIS
				: arrived + Math.round((endAt - arrived) * PLAIN_WAIT_FRACTION);
		return new WaitingLine.Patience(onTime, Math.min(endAt, most));
	}

	/**
	 * Returns how long a stream that broke may wait for a place to continue.
	 * @param now the time in milliseconds
	 * @param endAt its time limit, in milliseconds
	 * @return its patience; it goes before requests that are late
	 */
	static WaitingLine.Patience resumedWaitLimits(long now, long endAt) {
		return new WaitingLine.Patience(endAt, Math.min(endAt, now + MAX_STREAM_WAIT_MILLIS));
	}

	/**
	 * Returns the silence that counts as a stall.
	 * @param route the route
	 * @param read whether the first event has come
	 * @return milliseconds
	 */
	static long stallMillis(Route route, boolean read) {
		if (route.kind() != RequestKind.STREAMING) {
			return Math.round(route.targetLatency().toMillis() * STALL_LATENCY_FACTOR);
		}
		long gap = Math.max(MIN_STALL_MILLIS, Math.round(route.targetGap().toMillis() * STALL_GAP_FACTOR));
		return read ? gap : Math.max(gap, FIRST_EVENT_STALL_MILLIS);
	}

}
