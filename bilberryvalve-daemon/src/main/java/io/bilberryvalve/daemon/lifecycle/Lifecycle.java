package io.bilberryvalve.daemon.lifecycle;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Tracks the serving state of this entry and counts its requests in progress. Safe for
 * use by several threads without locks.
 */
public final class Lifecycle {

	private final AtomicReference<ServingState> state = new AtomicReference<>(ServingState.STARTING);

	private final AtomicInteger active = new AtomicInteger();

	/**
	 * Returns the serving state.
	 * @return the current state
	 */
	public ServingState state() {
		return this.state.get();
	}

	/**
	 * Moves to a later state. A call with the current or an earlier state has no effect,
	 * so the state never goes back.
	 * @param next state to move to
	 * @return whether the state changed
	 */
	public boolean advanceTo(ServingState next) {
		ServingState before = this.state.getAndUpdate((current) -> (next.compareTo(current) > 0) ? next : current);
		return next.compareTo(before) > 0;
	}

	/**
	 * Counts a new request unless the entry refuses new requests. The request is counted
	 * before the state is checked, so that a drain that starts between the two steps
	 * waits for it.
	 * @return whether the request may start; if it may, {@link #endRequest()} must be
	 * called exactly once when it ends
	 */
	public boolean tryBeginRequest() {
		this.active.incrementAndGet();
		ServingState now = this.state.get();
		if (now == ServingState.READY || now == ServingState.LEAVING) {
			return true;
		}
		this.active.decrementAndGet();
		return false;
	}

	/**
	 * Counts the end of a request that was allowed to start.
	 */
	public void endRequest() {
		this.active.decrementAndGet();
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number of requests that have begun and not ended
	 */
	public int activeRequests() {
		return this.active.get();
	}

}
