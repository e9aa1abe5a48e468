package io.bilberryvalve.daemon.call;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;

import io.bilberryvalve.daemon.lifecycle.Timer;
import io.bilberryvalve.model.ApplicationRunner;
import org.jspecify.annotations.Nullable;

/**
 * Dispatch of one idempotent call. A runner that does not answer in time stays in
 * progress while the next one is tried, and the first answer counts. Safe for use by
 * several threads.
 */
final class IdempotentDispatch {

	/**
	 * The next runner is tried after this fraction (1/2) of the remaining time, so that
	 * time is left for it.
	 */
	private static final int SILENCE_DIVISOR = 2;

	private final ApplicationCall call;

	private final Instant deadline;

	private final List<ApplicationRunner> runners;

	private final RunnerRotation rotation;

	private final ApplicationClient client;

	private final RetryAllowance retryAllowance;

	private final Clock clock;

	private final Timer timer;

	private final CompletableFuture<ApplicationClient.Reply> result = new CompletableFuture<>();

	private int nextRunner;

	private int inProgress;

	private ApplicationClient.Reply failure = new ApplicationClient.Reply.NotSent("no runner accepted a connection");

	IdempotentDispatch(ApplicationCall call, Instant deadline, RunnerRotation rotation, ApplicationClient client,
			RetryAllowance retryAllowance, Clock clock, Timer timer) {
		this.call = call;
		this.deadline = deadline;
		this.runners = rotation.candidates(call.application());
		this.rotation = rotation;
		this.client = client;
		this.retryAllowance = retryAllowance;
		this.clock = clock;
		this.timer = timer;
	}

	CompletionStage<ApplicationClient.Reply> start() {
		tryNext();
		return this.result;
	}

	private void tryNext() {
		Duration remaining = Duration.between(this.clock.instant(), this.deadline);
		ApplicationRunner runner = nextRunner(remaining);
		if (runner == null) {
			endIfIdle();
			return;
		}
		AtomicReference<@Nullable Runnable> onSilence = new AtomicReference<>(this::retry);
		this.timer.schedule(remaining.dividedBy(SILENCE_DIVISOR), () -> {
			Runnable task = onSilence.getAndSet(null);
			if (task != null) {
				task.run();
			}
		});
		// The timer must not keep the call in memory after its end.
		this.result.whenComplete((reply, error) -> onSilence.set(null));
		send(runner, remaining).thenAccept((reply) -> {
			boolean silenceOpen = onSilence.getAndSet(null) != null;
			onReply(runner, reply, silenceOpen);
		});
	}

	private CompletionStage<ApplicationClient.Reply> send(ApplicationRunner runner, Duration timeout) {
		try {
			return this.client.send(runner, this.call, timeout);
		}
		catch (RuntimeException ex) {
			return CompletableFuture.completedFuture(new ApplicationClient.Reply.Lost(ex.toString()));
		}
	}

	private synchronized @Nullable ApplicationRunner nextRunner(Duration remaining) {
		if (this.result.isDone() || this.nextRunner >= this.runners.size() || remaining.isNegative()
				|| remaining.isZero()) {
			return null;
		}
		this.inProgress++;
		return this.runners.get(this.nextRunner++);
	}

	// A runner whose silence has already led to a retry leads to no second one.
	private void onReply(ApplicationRunner runner, ApplicationClient.Reply reply, boolean mayRetry) {
		boolean notSent = reply instanceof ApplicationClient.Reply.NotSent;
		this.rotation.recordAttempt(runner.id(), !notSent);
		synchronized (this) {
			this.inProgress--;
			if (reply instanceof ApplicationClient.Reply.Lost) {
				this.failure = reply;
			}
		}
		if (reply instanceof ApplicationClient.Reply.Answered) {
			this.result.complete(reply);
		}
		else if (notSent) {
			tryNext();
		}
		else if (mayRetry) {
			retry();
		}
		endIfIdle();
	}

	private void retry() {
		if (hasNext() && this.clock.instant().isBefore(this.deadline) && this.retryAllowance.tryRetry()) {
			tryNext();
		}
	}

	private synchronized boolean hasNext() {
		return !this.result.isDone() && this.nextRunner < this.runners.size();
	}

	private void endIfIdle() {
		ApplicationClient.Reply end;
		synchronized (this) {
			end = (this.inProgress == 0) ? this.failure : null;
		}
		if (end != null) {
			this.result.complete(end);
		}
	}

}
