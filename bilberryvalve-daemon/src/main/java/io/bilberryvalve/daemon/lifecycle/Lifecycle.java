package io.bilberryvalve.daemon.lifecycle;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

/**
 * State of this entry and the number of requests in progress.
 */
public final class Lifecycle {

	private final AtomicReference<ServingState> state = new AtomicReference<>(ServingState.STARTING);

	private final AtomicInteger active = new AtomicInteger();

	/**
	 * Returns the state.
	 * @return the state
	 */
	public ServingState state() {
		return this.state.get();
	}

	/**
	 * Moves to a later state. The state never goes back.
	 * @param next the state
	 * @return whether the state changed
	 */
	public boolean advanceTo(ServingState next) {
		ServingState before = this.state.getAndUpdate((current) -> (next.compareTo(current) > 0) ? next : current);
		return next.compareTo(before) > 0;
	}

	/**
	 * Counts a new request unless the entry refuses new requests. The request is counted
	 * before the state is read, so that a drain that starts in between waits for it.
	 * @return whether the request may start; if so, {@link #endRequest()} must follow
	 * once
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
	 * Counts the end of a request.
	 */
	public void endRequest() {
		this.active.decrementAndGet();
	}

	/**
	 * Returns the number of requests in progress.
	 * @return the number
	 */
	public int activeRequests() {
		return this.active.get();
	}

}
