package io.bilberryvalve.daemon.call;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import io.bilberryvalve.daemon.lifecycle.ManualTimer;
import io.bilberryvalve.daemon.lifecycle.SimulatedProcess;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.policy.once.DispatchResult;
import io.bilberryvalve.policy.once.ExecutionAnswer;
import io.bilberryvalve.policy.once.ExecutionKey;
import io.bilberryvalve.policy.once.ExecutionLimits;
import io.bilberryvalve.policy.once.RecordedExecutionTracker;

/**
 * Entry of a simulation; its process can be paused and killed.
 */
final class SimulatedEntry {

	private final SimulatedProcess process = new SimulatedProcess();

	private final ManualClock clock;

	private final ManualTimer timer;

	private final ExecutionStore store;

	private long tokens;

	SimulatedEntry(String incarnation, TableService tables, ManualClock clock, ExecutionLimits limits) {
		this.clock = clock;
		this.timer = new ManualTimer(clock);
		RecordedExecutionTracker executionTracker = new RecordedExecutionTracker(clock, limits,
				() -> incarnation + "-" + this.tokens++);
		this.store = new ExecutionStore(this.process.connect(tables), executionTracker, incarnation, clock, this.timer);
	}

	void call(String key, String body, Duration timeout, Consumer<CompletableFuture<DispatchResult>> dispatch,
			Consumer<ExecutionAnswer> answer) {
		this.process.deliver(() -> this.store
			.call(new ExecutionKey(new ClubId("pavio"), key), body, this.clock.instant().plus(timeout), () -> {
				CompletableFuture<DispatchResult> upstream = new CompletableFuture<>();
				dispatch.accept(upstream);
				return this.process.deliverResult(upstream);
			})
			.thenAccept(answer));
	}

	SimulatedProcess process() {
		return this.process;
	}

	int unsettled() {
		return this.store.unsettledKeys();
	}

	void runDue() {
		if (this.process.isRunning()) {
			this.timer.runDue();
		}
	}

}
