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
 * A simulated process that can be paused and killed. What reaches a paused process waits;
 * what reaches a killed one is lost.
 */
public final class SuspendedProcess {

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
	 * Resumes the process and delivers what waits.
	 */
	public void resume() {
		this.paused = false;
		while (!this.paused && !this.waiting.isEmpty()) {
			this.waiting.remove(0).run();
		}
	}

	/**
	 * Kills the process.
	 */
	public void kill() {
		this.killed = true;
		this.waiting.clear();
	}

	/**
	 * Tells whether the process runs.
	 * @return whether it is neither paused nor killed
	 */
	public boolean isRunning() {
		return !this.paused && !this.killed;
	}

	/**
	 * Delivers an event.
	 * @param event the event
	 */
	public void receive(Runnable event) {
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
	 * Delivers the result of a stage.
	 * @param stage the stage
	 * @param <T> type of the result
	 * @return completes in the process
	 */
	public <T> CompletionStage<T> through(CompletionStage<T> stage) {
		CompletableFuture<T> received = new CompletableFuture<>();
		stage.thenAccept((value) -> receive(() -> received.complete(value)));
		return received;
	}

	/**
	 * Connects the process to a table service.
	 * @param tables the service
	 * @return the service as the process sees it
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
			return through(this.tables.read(table, key));
		}

		@Override
		public CompletionStage<ReadResult<List<Row>>> list(String table, String prefix, int limit) {
			return through(this.tables.list(table, prefix, limit));
		}

		@Override
		public CompletionStage<CommitResult> commit(List<RowOperation> operations) {
			return through(this.tables.commit(operations));
		}

	}

}
