package io.bilberryvalve.daemon.lifecycle;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.TableService;

/**
 * Simulated process that can be paused and killed. Events for a paused process are queued
 * until it is resumed; events for a killed one are lost.
 */
public final class SimulatedProcess {

	private final List<Runnable> waiting = new ArrayList<>();

	private boolean paused;

	private boolean killed;

	/**
	 * Pauses the process.
	 */
	public void pause() {
		this.paused = true;
	}

	/**
	 * Resumes the process and delivers the queued events.
	 */
	public void resume() {
		this.paused = false;
		while (!this.paused && !this.waiting.isEmpty()) {
			this.waiting.remove(0).run();
		}
	}

	/**
	 * Kills the process and drops the queued events.
	 */
	public void kill() {
		this.killed = true;
		this.waiting.clear();
	}

	/**
	 * Returns whether the process runs.
	 * @return whether it is neither paused nor killed
	 */
	public boolean isRunning() {
		return !this.paused && !this.killed;
	}

	/**
	 * Delivers an event to the process: runs it, queues it while the process is paused,
	 * or drops it after a kill.
	 * @param event runs in the process
	 */
	public void deliver(Runnable event) {
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

	/**
	 * Delivers the result of a stage to the process as an event. A failure of the stage
	 * is not delivered.
	 * @param stage stage that completes outside the process
	 * @param <T> type of the result
	 * @return a stage that completes when the process receives the result
	 */
	public <T> CompletionStage<T> deliverResult(CompletionStage<T> stage) {
		CompletableFuture<T> received = new CompletableFuture<>();
		stage.thenAccept((value) -> deliver(() -> received.complete(value)));
		return received;
	}

	/**
	 * Connects the process to a table service.
	 * @param tables table service outside the process
	 * @return the service as the process sees it, with answers delivered as events
	 */
	public TableService connect(TableService tables) {
		return new Connection(tables);
	}

	private final class Connection implements TableService {

		private final TableService tables;

		Connection(TableService tables) {
			this.tables = tables;
		}

		@Override
		public CompletionStage<ReadResult<Row>> read(String table, String key) {
			return deliverResult(this.tables.read(table, key));
		}

		@Override
		public CompletionStage<ReadResult<List<Row>>> list(String table, String prefix, int limit) {
			return deliverResult(this.tables.list(table, prefix, limit));
		}

		@Override
		public CompletionStage<CommitResult> commit(List<RowOperation> operations) {
			return deliverResult(this.tables.commit(operations));
		}

	}

}
