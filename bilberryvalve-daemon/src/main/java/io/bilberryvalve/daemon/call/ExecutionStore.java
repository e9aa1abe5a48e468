package io.bilberryvalve.daemon.call;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import io.bilberryvalve.daemon.lifecycle.Timer;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.StoreFailure;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.policy.once.DispatchResult;
import io.bilberryvalve.policy.once.ExecutionAction;
import io.bilberryvalve.policy.once.ExecutionAnswer;
import io.bilberryvalve.policy.once.ExecutionEvent;
import io.bilberryvalve.policy.once.ExecutionKey;
import io.bilberryvalve.policy.once.ExecutionRecord;
import io.bilberryvalve.policy.once.ExecutionTracker;
import io.bilberryvalve.policy.once.RecordExpiry;
import io.bilberryvalve.policy.once.RecordWrite;
import io.bilberryvalve.policy.once.StoredRecord;

/**
 * Makes calls at most once: passes events to an {@link ExecutionTracker} and carries out
 * the actions that it returns, which are transactions and reads in the table service,
 * dispatches and answers to callers. Safe for use by several threads.
 */
public final class ExecutionStore {

	/** Table of the execution records, one row for each key. */
	public static final String TABLE = "executions";

	/**
	 * Table of the index rows that list the keys of each hour, to find expired records.
	 */
	public static final String INDEX_TABLE = "execution-expiry";

	private static final Logger LOGGER = System.getLogger(ExecutionStore.class.getName());

	private final TableService tables;

	private final ExecutionTracker tracker;

	private final String incarnation;

	private final Clock clock;

	private final Timer timer;

	private final Map<Long, PendingCall> pendingCalls = new ConcurrentHashMap<>();

	private final AtomicLong nextCallNumber = new AtomicLong();

	private Instant nextTimer = Instant.MAX;

	/**
	 * Creates a store without calls.
	 * @param tables table service
	 * @param tracker decides which calls are dispatched; no other object may use it,
	 * because this store synchronizes the access
	 * @param incarnation text that is unique to this run of the daemon
	 * @param clock clock that the tracker uses as well
	 * @param timer schedules ticks
	 */
	public ExecutionStore(TableService tables, ExecutionTracker tracker, String incarnation, Clock clock, Timer timer) {
		this.tables = tables;
		this.tracker = tracker;
		this.incarnation = incarnation;
		this.clock = clock;
		this.timer = timer;
	}

	/**
	 * Makes a call at most once.
	 * @param key key of the call
	 * @param requestDigest digest that distinguishes different requests with the same key
	 * @param deadline time at which the caller stops waiting
	 * @param dispatch sends the call to an upstream; invoked at most once
	 * @return the answer for the caller
	 */
	public CompletionStage<ExecutionAnswer> call(ExecutionKey key, String requestDigest, Instant deadline,
			Supplier<CompletionStage<DispatchResult>> dispatch) {
		long number = this.nextCallNumber.getAndIncrement();
		PendingCall call = new PendingCall(dispatch, new CompletableFuture<>());
		this.pendingCalls.put(number, call);
		handle(new ExecutionEvent.CallReceived(number, key, requestDigest, deadline));
		return call.answer;
	}

	/**
	 * Carries out the actions that are due by now.
	 */
	public void tick() {
		handle(new ExecutionEvent.Tick());
	}

	/**
	 * Returns the number of keys whose record or result is not yet in the table service.
	 * @return the number; a daemon that shuts down waits until it is 0 or its time limit
	 * for that has passed
	 */
	public synchronized int unsettledKeys() {
		return this.tracker.unsettledKeys();
	}

	private void handle(ExecutionEvent event) {
		List<ExecutionAction> actions;
		synchronized (this) {
			actions = this.tracker.handle(event);
			scheduleTick();
		}
		actions.forEach(this::execute);
	}

	private void scheduleTick() {
		Instant next = this.tracker.nextTick();
		if (next == null || !next.isBefore(this.nextTimer)) {
			return;
		}
		this.nextTimer = next;
		Instant now = this.clock.instant();
		this.timer.schedule(next.isAfter(now) ? Duration.between(now, next) : Duration.ZERO, this::onTimer);
	}

	private void onTimer() {
		synchronized (this) {
			this.nextTimer = Instant.MAX;
		}
		tick();
	}

	private void execute(ExecutionAction action) {
		if (action instanceof ExecutionAction.Commit commit) {
			commit(commit);
		}
		else if (action instanceof ExecutionAction.ReadRows read) {
			readRows(read);
		}
		else if (action instanceof ExecutionAction.Dispatch dispatch) {
			dispatch(dispatch.call());
		}
		else if (action instanceof ExecutionAction.Answer answer) {
			answer(answer);
		}
	}

	private void commit(ExecutionAction.Commit commit) {
		List<RowOperation> operations = new ArrayList<>();
		for (RecordWrite write : commit.writes()) {
			operations.add(new RowOperation.Put(TABLE, write.key().toString(), write.expectVersion(),
					ExecutionRecordCodec.encode(write.record())));
		}
		addIndex(commit, operations);
		int size = commit.writes().size();
		this.tables.commit(operations).whenComplete((result, error) -> {
			if (result == null) {
				handle(new ExecutionEvent.CommitUnknown(commit.batch()));
				return;
			}
			handle(commitEvent(commit, size, result));
		});
	}

	private void addIndex(ExecutionAction.Commit commit, List<RowOperation> operations) {
		List<String> keys = commit.writes()
			.stream()
			.filter((write) -> write.expectVersion() == RowOperation.ABSENT
					|| write.record().state() == ExecutionRecord.State.RESERVED)
			.map((write) -> write.key().toString())
			.toList();
		if (!keys.isEmpty()) {
			String row = RecordExpiry.hourPrefix(this.clock.instant()) + this.incarnation + "-" + commit.batch();
			operations.add(new RowOperation.Put(INDEX_TABLE, row, null, String.join("\n", keys)));
		}
	}

	private ExecutionEvent commitEvent(ExecutionAction.Commit commit, int size, CommitResult result) {
		if (result instanceof CommitResult.Committed committed && committed.versions().size() >= size) {
			return new ExecutionEvent.Committed(commit.batch(), committed.versions().subList(0, size));
		}
		if (result instanceof CommitResult.Conflict conflict) {
			return new ExecutionEvent.Conflicted(commit.batch(), conflictingRows(commit, conflict));
		}
		if (result instanceof CommitResult.Refused refused) {
			StoreFailure failure = refused.failure();
			return new ExecutionEvent.Refused(commit.batch(), failure.kind() == StoreFailure.Kind.RATE_LIMITED,
					failure.retryAfter());
		}
		LogEvent.of("execution-write-unresolved").with("batch", commit.batch()).log(LOGGER, Level.DEBUG);
		return new ExecutionEvent.CommitUnknown(commit.batch());
	}

	private List<ExecutionEvent.ConflictingRow> conflictingRows(ExecutionAction.Commit commit,
			CommitResult.Conflict conflict) {
		List<ExecutionEvent.ConflictingRow> found = new ArrayList<>();
		for (CommitResult.ConflictRow row : conflict.rows()) {
			if (row.index() >= 0 && row.index() < commit.writes().size()) {
				String value = row.value();
				found.add(new ExecutionEvent.ConflictingRow(commit.writes().get(row.index()).key(), (value != null)
						? new StoredRecord(row.version(), ExecutionRecordCodec.decode(value, this.clock.instant()))
						: null));
			}
		}
		return found;
	}

	private void readRows(ExecutionAction.ReadRows read) {
		Map<ExecutionKey, CompletableFuture<ReadResult<Row>>> reads = new HashMap<>();
		for (ExecutionKey key : read.keys()) {
			reads.put(key, this.tables.read(TABLE, key.toString()).toCompletableFuture());
		}
		CompletableFuture.allOf(reads.values().toArray(CompletableFuture<?>[]::new))
			.whenComplete((done, error) -> handle(
					(error != null) ? new ExecutionEvent.ReadFailed(read.batch()) : readEvent(read.batch(), reads)));
	}

	private ExecutionEvent readEvent(long batch, Map<ExecutionKey, CompletableFuture<ReadResult<Row>>> reads) {
		Map<ExecutionKey, StoredRecord> rows = new HashMap<>();
		for (Map.Entry<ExecutionKey, CompletableFuture<ReadResult<Row>>> entry : reads.entrySet()) {
			ReadResult<Row> fetched = entry.getValue().join();
			if (fetched instanceof ReadResult.Failed<Row>) {
				return new ExecutionEvent.ReadFailed(batch);
			}
			if (fetched instanceof ReadResult.Found<Row> found) {
				Row row = found.value();
				rows.put(entry.getKey(), new StoredRecord(row.version(),
						ExecutionRecordCodec.decode(row.value(), this.clock.instant())));
			}
		}
		return new ExecutionEvent.RowsRead(batch, rows);
	}

	private void dispatch(long number) {
		PendingCall call = this.pendingCalls.get(number);
		if (call == null) {
			handle(new ExecutionEvent.DispatchEnded(number, new DispatchResult.NotSent()));
			return;
		}
		CompletionStage<DispatchResult> stage;
		try {
			stage = call.dispatch.get();
		}
		catch (RuntimeException ex) {
			stage = CompletableFuture.failedFuture(ex);
		}
		stage.whenComplete((end, error) -> handle(
				new ExecutionEvent.DispatchEnded(number, (end != null) ? end : new DispatchResult.Lost())));
	}

	private void answer(ExecutionAction.Answer answer) {
		PendingCall call = this.pendingCalls.remove(answer.call());
		if (call != null) {
			call.answer.complete(answer.answer());
		}
	}

	private record PendingCall(Supplier<CompletionStage<DispatchResult>> dispatch,
			CompletableFuture<ExecutionAnswer> answer) {

	}

}
