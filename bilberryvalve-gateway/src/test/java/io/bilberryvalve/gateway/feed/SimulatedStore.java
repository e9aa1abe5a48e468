package io.bilberryvalve.gateway.feed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.StoreFailure;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.platform.watch.TableFeed;

/**
 * Store on simulated time with tables, one version for all of them, and long polls. It
 * keeps the whole history. Each daemon has its own link to it.
 */
final class SimulatedStore {

	/** Time that the store needs for an answer. */
	static final Duration LATENCY = Duration.ofMillis(8);

	/** Time after the end of a wait at which a call without an answer fails. */
	private static final Duration TIMEOUT_MARGIN = Duration.ofMillis(800);

	private final SimulatedTimer timer;

	private final Map<String, List<TableFeed.Change>> history = new HashMap<>();

	private final List<Runnable> waiting = new ArrayList<>();

	private long version = 1;

	/** Number of calls of all daemons. */
	private int calls;

	SimulatedStore(SimulatedTimer timer) {
		this.timer = timer;
	}

	int calls() {
		return this.calls;
	}

	void write(String table, String key, String value) {
		this.version++;
		history(table).add(new TableFeed.Change(new Row(table, key, this.version, value), false));
		List<Runnable> woken = List.copyOf(this.waiting);
		woken.forEach(Runnable::run);
	}

	private List<TableFeed.Change> history(String table) {
		return this.history.computeIfAbsent(table, (key) -> new ArrayList<>());
	}

	/** Link of a daemon to the store. */
	final class Link implements TableFeed {

		private boolean cut;

		/**
		 * Cuts the link silently: calls end without an answer when their time is over.
		 */
		void cut() {
			this.cut = true;
		}

		void restore() {
			this.cut = false;
		}

		@Override
		public CompletionStage<ReadResult<Snapshot>> snapshot(String table) {
			SimulatedStore.this.calls++;
			CompletableFuture<ReadResult<Snapshot>> result = new CompletableFuture<>();
			failLater(result, Duration.ofMillis(1500));
			answer(result, () -> {
				Map<String, Row> rows = new LinkedHashMap<>();
				history(table).forEach((change) -> rows.put(change.row().key(), change.row()));
				return new ReadResult.Found<>(new Snapshot(List.copyOf(rows.values()), version()));
			});
			return result;
		}

		@Override
		public CompletionStage<ReadResult<Changes>> changes(String table, StoreVersion after, Duration wait) {
			SimulatedStore.this.calls++;
			CompletableFuture<ReadResult<Changes>> result = new CompletableFuture<>();
			failLater(result, wait.plus(TIMEOUT_MARGIN));
			Runnable attempt = () -> {
				if (hasChanges(table, after)) {
					answer(result, () -> changes(table, after));
				}
			};
			SimulatedStore.this.waiting.add(attempt);
			result.whenComplete((answer, failure) -> SimulatedStore.this.waiting.remove(attempt));
			attempt.run();
			SimulatedStore.this.timer.schedule(() -> answer(result, () -> changes(table, after)), wait.toMillis(),
					TimeUnit.MILLISECONDS);
			return result;
		}

		private boolean hasChanges(String table, StoreVersion after) {
			List<Change> all = history(table);
			return !all.isEmpty() && all.get(all.size() - 1).row().version() > after.version();
		}

		// The latest change of each row, as the store sends them.
		private ReadResult<Changes> changes(String table, StoreVersion after) {
			Map<String, Change> latest = new LinkedHashMap<>();
			List<Change> all = history(table);
			int first = all.size();
			while (first > 0 && all.get(first - 1).row().version() > after.version()) {
				first--;
			}
			all.subList(first, all.size()).forEach((change) -> {
				latest.remove(change.row().key());
				latest.put(change.row().key(), change);
			});
			return new ReadResult.Found<>(new Changes(List.copyOf(latest.values()), version()));
		}

		private StoreVersion version() {
			return new StoreVersion(0, SimulatedStore.this.version);
		}

		private <T> void answer(CompletableFuture<ReadResult<T>> result, Supplier<ReadResult<T>> value) {
			ReadResult<T> answer = value.get();
			SimulatedStore.this.timer.schedule(() -> {
				if (!this.cut) {
					result.complete(answer);
				}
			}, LATENCY.toMillis(), TimeUnit.MILLISECONDS);
		}

		private <T> void failLater(CompletableFuture<ReadResult<T>> result, Duration timeout) {
			ReadResult<T> failure = new ReadResult.Failed<>(StoreFailure.of(StoreFailure.Kind.ANSWER_LOST, "cut"));
			Runnable end = () -> result.complete(failure);
			SimulatedStore.this.timer.schedule(end, timeout.toMillis(), TimeUnit.MILLISECONDS);
		}

	}

}
