package io.bilberryvalve.policy.outcome;

import java.util.concurrent.atomic.AtomicReference;

import io.bilberryvalve.model.Outcome;

/**
 * Gate of one request that ensures that a request reported as {@code not-run} is never
 * sent. It leaves its open state once, either by a dispatch or by closing, so if one
 * thread sends the request while another one reports a failure, only one of them
 * succeeds. Only a closed gate permits the outcome {@code not-run}. Safe for use by
 * several threads without locks.
 */
public final class DispatchGate {

	private final AtomicReference<State> state = new AtomicReference<>(State.OPEN);

	/**
	 * Asks for permission to send the request, immediately before its first byte is sent.
	 * Once granted, it is granted again to each repeated dispatch, for example by a
	 * repair.
	 * @return whether the request may be sent
	 */
	public boolean tryDispatch() {
		return this.state.compareAndSet(State.OPEN, State.DISPATCHED) || this.state.get() == State.DISPATCHED;
	}

	/**
	 * Closes the gate, which prevents every dispatch, unless a dispatch was permitted
	 * before.
	 * @return whether the gate is closed, so that nothing was or will be sent
	 */
	public boolean close() {
		return this.state.compareAndSet(State.OPEN, State.CLOSED) || this.state.get() == State.CLOSED;
	}

	/**
	 * Closes the gate if possible and returns the outcome to report.
	 * @return {@code not-run} if nothing was or will be sent, otherwise {@code unknown}
	 */
	public Outcome closeAndGetOutcome() {
		return close() ? Outcome.NOT_RUN : Outcome.UNKNOWN;
	}

	/**
	 * Returns whether the request may have been sent.
	 * @return whether a dispatch was permitted
	 */
	public boolean dispatched() {
		return this.state.get() == State.DISPATCHED;
	}

	private enum State {

		OPEN, DISPATCHED, CLOSED

	}

}
