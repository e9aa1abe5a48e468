package io.bilberryvalve.daemon.call;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.ApplicationRunner;

/**
 * Sends a call to the runners of its application, one after the other, until one of them
 * accepts it. An idempotent call is also retried if its response is lost.
 */
public final class CallDispatcher {

	/**
	 * Each attempt of an idempotent call, except the one at the last runner, may use this
	 * fraction (1/2) of the remaining time, so that time is left for a retry.
	 */
	private static final int ATTEMPT_TIMEOUT_DIVISOR = 2;

	private final RunnerRotation rotation;

	private final ApplicationClient client;

	private final RetryAllowance retryAllowance;

	private final Clock clock;

	/**
	 * Creates a dispatcher.
	 * @param rotation orders the runners of an application
	 * @param client sends a call to one runner
	 * @param retryAllowance limits the retries of idempotent calls
	 * @param clock monotonic clock
	 */
	public CallDispatcher(RunnerRotation rotation, ApplicationClient client, RetryAllowance retryAllowance,
			Clock clock) {
		this.rotation = rotation;
		this.client = client;
		this.retryAllowance = retryAllowance;
		this.clock = clock;
	}

	/**
	 * Dispatches a call that must be executed at most once. The next runner is tried only
	 * if the previous one refused the connection, so that no byte of the call was sent.
	 * @param call the call
	 * @param deadline time at which the caller stops waiting
	 * @return the reply of the last runner tried, or {@code NotSent} if no runner
	 * accepted a connection before the deadline
	 */
	public CompletionStage<ApplicationClient.Reply> dispatchOnce(ApplicationCall call, Instant deadline) {
		return tryRunners(call, deadline, this.rotation.candidates(call.application()), 0, false);
	}

	/**
	 * Dispatches an idempotent call. If the response is lost, the call is retried at the
	 * next runner as far as the retry allowance and the deadline permit.
	 * @param call the call
	 * @param deadline time at which the caller stops waiting
	 * @return the reply of the last runner tried; {@code Lost} if a response was lost and
	 * no later attempt was sent
	 */
	public CompletionStage<ApplicationClient.Reply> dispatchIdempotent(ApplicationCall call, Instant deadline) {
		this.retryAllowance.recordAttempt();
		return tryRunners(call, deadline, this.rotation.candidates(call.application()), 0, true);
	}

	private CompletionStage<ApplicationClient.Reply> tryRunners(ApplicationCall call, Instant deadline,
			List<ApplicationRunner> runners, int index, boolean idempotent) {
		Duration remaining = Duration.between(this.clock.instant(), deadline);
		if (index >= runners.size() || remaining.isNegative() || remaining.isZero()) {
			return CompletableFuture.completedFuture(new ApplicationClient.Reply.NotSent(
					(index >= runners.size()) ? "no runner accepted a connection" : "the deadline passed"));
		}
		ApplicationRunner runner = runners.get(index);
		boolean last = index + 1 == runners.size();
		Duration timeout = (idempotent && !last) ? remaining.dividedBy(ATTEMPT_TIMEOUT_DIVISOR) : remaining;
		return this.client.send(runner, call, timeout).thenCompose((reply) -> {
			boolean notSent = reply instanceof ApplicationClient.Reply.NotSent;
			this.rotation.recordAttempt(runner.id(), !notSent);
			if (notSent) {
				return tryRunners(call, deadline, runners, index + 1, idempotent);
			}
			if (reply instanceof ApplicationClient.Reply.Lost && mayRetry(idempotent, last, deadline)) {
				return tryRunners(call, deadline, runners, index + 1, true)
					.thenApply((next) -> (next instanceof ApplicationClient.Reply.NotSent) ? reply : next);
			}
			return CompletableFuture.completedFuture(reply);
		});
	}

	private boolean mayRetry(boolean idempotent, boolean last, Instant deadline) {
		return idempotent && !last && this.clock.instant().isBefore(deadline) && this.retryAllowance.tryRetry();
	}

}
