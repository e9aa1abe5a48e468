package io.bilberryvalve.policy.outcome;

import java.util.concurrent.atomic.AtomicReference;

import io.bilberryvalve.model.Outcome;

/**
 * Separates requests that may have been sent from requests that never will be. The gate
 * leaves its open state once, either by a dispatch or by closing, so a sender and a
 * reporter on different threads cannot both succeed. Only a closed gate permits the
 * outcome {@code not-run}.
 */
public final class DispatchGate {

	private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);

	/**
	 * Asks to send the request. Call this immediately before the first byte is sent.
	 * Repeated dispatches of one request are allowed, for example by a repair.
	 * @return whether the request may be sent
	 */
	public boolean tryDispatch() {
		return this.state.compareAndSet(State.OPEN, State.DISPATCHED) || this.state.get() == State.DISPATCHED;
	}

	/**
	 * Asks to prevent every dispatch.
	 * @return whether the gate is closed, that is, whether nothing was or will be sent
	 */
	public boolean close() {
		return this.state.compareAndSet(State.OPEN, State.CLOSED) || this.state.get() == State.CLOSED;
	}

	/**
	 * Closes the gate if possible and returns what may be reported about the request.
	 * @return {@code not-run} if nothing was or will be sent, otherwise {@code unknown}
	 */
	public Outcome closeAndGetOutcome() {
		return close() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
	}

	/**
	 * Tells whether the request may have been sent.
	 * @return whether a dispatch was allowed
	 */
	public boolean dispatched() {
		return this.state.get() == State.DISPATCHED;
	}

	private enum State {

		OPEN, DISPATCHED, CLOSED

	}

}
