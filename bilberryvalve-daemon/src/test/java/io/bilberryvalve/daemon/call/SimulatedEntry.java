package io.bilberryvalve.daemon.call;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import io.bilberryvalve.daemon.lifecycle.ManualTimer;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.Commit;
import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.Operation;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.policy.once.DispatchEnd;
import io.bilberryvalve.policy.once.ExecutionAnswer;
import io.bilberryvalve.policy.once.ExecutionKey;
import io.bilberryvalve.policy.once.OnceLimits;
import io.bilberryvalve.policy.once.RecordedExecutions;

/**
 * An entry that can be paused and killed. What reaches a paused entry waits; what reaches
 * a killed one is lost.
 */
final class SimulatedEntry {

	private final ManualClock clock;

	private final ManualTimer timer;

	private final ExecutionStore store;

	private final List<Runnable> waiting = new ArrayList<>();

	private boolean paused;

	private boolean killed;

	private long tokens;

	SimulatedEntry(String incarnation, TableService tables, ManualClock clock, OnceLimits limits) {
		this.clock = clock;
		this.timer = new ManualTimer(clock);
		RecordedExecutions ledger = new RecordedExecutions(clock, limits, () -> incarnation + "-" + this.tokens++);
		this.store = new ExecutionStore(new Connection(tables), ledger, incarnation, clock, this.timer);
	}

	void call(String key, String body, Duration timeout, Consumer<CompletableFuture<DispatchEnd>> dispatch,
			Consumer<ExecutionAnswer> answer) {
		receive(() -> this.store
			.call(new ExecutionKey(new ClubId("pavio"), key), body, this.clock.instant().plus(timeout), () -> {
				CompletableFuture<DispatchEnd> upstream = new CompletableFuture<>();
				dispatch.accept(upstream);
				return through(upstream);
			})
			.thenAccept(answer));
	}

	void pause() {
		this.paused = true;
	}

	void resume() {
		this.paused = false;
		while (!this.paused && !this.waiting.isEmpty()) {
			this.waiting.remove(0).run();
		}
	}

	void kill() {
		this.killed = true;
		this.waiting.clear();
	}

	void runDue() {
		if (!this.paused && !this.killed) {
			this.timer.runDue();
		}
	}

	private void receive(Runnable event) {
		if (this.killed) {
			return;
		}
		if (this.paused) {
			this.waiting.add(event);
		}
		else {
			event.run();
		}
	}

	private <T> CompletionStage<T> through(CompletionStage<T> stage) {
		CompletableFuture<T> received = new CompletableFuture<>();
		stage.thenAccept((value) -> receive(() -> received.complete(value)));
		return received;
	}

	private final class Connection implements TableService {

		private final TableService tables;

		Connection(TableService tables) {
			this.tables = tables;
		}

		@Override
		public CompletionStage<Fetched<Row>> read(String table, String key) {
			return through(this.tables.read(table, key));
		}

		@Override
		public CompletionStage<Fetched<List<Row>>> list(String table, String prefix, int limit) {
			return through(this.tables.list(table, prefix, limit));
		}

		@Override
		public CompletionStage<Commit> commit(List<Operation> operations) {
			return through(this.tables.commit(operations));
		}

	}

}
