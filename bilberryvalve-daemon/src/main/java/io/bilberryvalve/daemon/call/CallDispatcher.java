package io.bilberryvalve.daemon.call;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.daemon.lifecycle.Timer;
import io.bilberryvalve.model.ApplicationRunner;

/**
 * Sends a call to the runners of its application, one after the other, until one of them
 * accepts it. An idempotent call is also retried if its response is lost or late.
 */
public final class CallDispatcher {

	private final RunnerRotation rotation;

	private final ApplicationClient client;

	private final RetryAllowance retryAllowance;

	private final Clock clock;

	private final Timer timer;

	/**
	 * Creates a dispatcher that retries an idempotent call only after its response was
	 * lost.
	 * @param rotation orders the runners of an application
	 * @param client sends a call to one runner
	 * @param retryAllowance limits the retries of idempotent calls
	 * @param clock monotonic clock
	 */
	public CallDispatcher(RunnerRotation rotation, ApplicationClient client, RetryAllowance retryAllowance,
			Clock clock) {
		this(rotation, client, retryAllowance, clock, (delay, task) -> {
		});
	}

	/**
	 * Creates a dispatcher that also retries an idempotent call whose runner is silent.
	 * @param rotation orders the runners of an application
	 * @param client sends a call to one runner
	 * @param retryAllowance limits the retries of idempotent calls
	 * @param clock monotonic clock
	 * @param timer decides when a runner has been silent for too long
	 */
	public CallDispatcher(RunnerRotation rotation, ApplicationClient client, RetryAllowance retryAllowance, Clock clock,
			Timer timer) {
		this.rotation = rotation;
		this.client = client;
		this.retryAllowance = retryAllowance;
		this.clock = clock;
		this.timer = timer;
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
		return tryRunners(call, deadline, this.rotation.candidates(call.application()), 0);
	}

	/**
	 * Dispatches an idempotent call. If the response is lost or does not arrive within
	 * half of the remaining time, the call is retried at the next runner as far as the
	 * retry allowance and the deadline permit. A silent runner may still answer while the
	 * next one is tried.
	 * @param call the call
	 * @param deadline time at which the caller stops waiting
	 * @return the first answer; {@code Lost} if a response was lost and no runner
	 * answered
	 */
	public CompletionStage<ApplicationClient.Reply> dispatchIdempotent(ApplicationCall call, Instant deadline) {
		this.retryAllowance.recordAttempt();
		return new IdempotentDispatch(call, deadline, this.rotation, this.client, this.retryAllowance, this.clock,
				this.timer)
			.start();
	}

	private CompletionStage<ApplicationClient.Reply> tryRunners(ApplicationCall call, Instant deadline,
			List<ApplicationRunner> runners, int index) {
		Duration remaining = Duration.between(this.clock.instant(), deadline);
		if (index >= runners.size() || remaining.isNegative() || remaining.isZero()) {
			return CompletableFuture.completedFuture(new ApplicationClient.Reply.NotSent(
					(index >= runners.size()) ? "no runner accepted a connection" : "the deadline passed"));
		}
		ApplicationRunner runner = runners.get(index);
		return this.client.send(runner, call, remaining).thenCompose((reply) -> {
			boolean notSent = reply instanceof ApplicationClient.Reply.NotSent;
			this.rotation.recordAttempt(runner.id(), !notSent);
			return notSent ? tryRunners(call, deadline, runners, index + 1) : CompletableFuture.completedFuture(reply);
		});
	}

}
