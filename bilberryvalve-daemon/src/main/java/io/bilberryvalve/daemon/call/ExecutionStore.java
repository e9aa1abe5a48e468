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
import io.bilberryvalve.platform.Commit;
import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.Operation;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.StoreFailure;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.policy.once.DispatchEnd;
import io.bilberryvalve.policy.once.ExecutionAnswer;
import io.bilberryvalve.policy.once.ExecutionKey;
import io.bilberryvalve.policy.once.ExecutionLedger;
import io.bilberryvalve.policy.once.ExecutionRecord;
import io.bilberryvalve.policy.once.OnceAction;
import io.bilberryvalve.policy.once.OnceEvent;
import io.bilberryvalve.policy.once.RecordExpiry;
import io.bilberryvalve.policy.once.RecordWrite;
import io.bilberryvalve.policy.once.StoredRecord;

/**
 * Makes calls at most once: passes events to an {@link ExecutionLedger} and carries out
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

	private final ExecutionLedger tracker;

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
	public ExecutionStore(TableService tables, ExecutionLedger tracker, String incarnation, Clock clock, Timer timer) {
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
			Supplier<CompletionStage<DispatchEnd>> dispatch) {
		long number = this.nextCallNumber.getAndIncrement();
		PendingCall call = new PendingCall(dispatch, new CompletableFuture<>());
		this.pendingCalls.put(number, call);
		handle(new OnceEvent.Called(number, key, requestDigest, deadline));
		return call.answer;
	}

	/**
	 * Carries out the actions that are due by now.
	 */
	public void tick() {
		handle(new OnceEvent.Tick());
	}

	/**
	 * Returns the number of keys whose record or result is not yet in the table service.
	 * @return the number; a daemon that shuts down waits until it is 0 or its time limit
	 * for that has passed
	 */
	public synchronized int unsettledKeys() {
		return this.tracker.unsettled();
	}

	private void handle(OnceEvent event) {
		List<OnceAction> actions;
		synchronized (this) {
			actions = this.tracker.on(event);
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
		this.timer.after(next.isAfter(now) ? Duration.between(now, next) : Duration.ZERO, this::onTimer);
	}

	private void onTimer() {
		synchronized (this) {
			this.nextTimer = Instant.MAX;
		}
		tick();
	}

	private void execute(OnceAction action) {
		if (action instanceof OnceAction.Commit commit) {
			commit(commit);
		}
		else if (action instanceof OnceAction.Read read) {
			readRows(read);
		}
		else if (action instanceof OnceAction.Dispatch dispatch) {
			dispatch(dispatch.call());
		}
		else if (action instanceof OnceAction.Answer answer) {
			answer(answer);
		}
	}

	private void commit(OnceAction.Commit commit) {
		List<Operation> operations = new ArrayList<>();
		for (RecordWrite write : commit.writes()) {
			operations.add(new Operation.Put(TABLE, write.key().toString(), write.expectVersion(),
					ExecutionRecordCodec.encode(write.record())));
		}
		addIndex(commit, operations);
		int size = commit.writes().size();
		this.tables.commit(operations).whenComplete((result, error) -> {
			if (result == null) {
				handle(new OnceEvent.Unknown(commit.batch()));
				return;
			}
			handle(commitEvent(commit, size, result));
		});
	}

	private void addIndex(OnceAction.Commit commit, List<Operation> operations) {
		List<String> keys = commit.writes()
			.stream()
			.filter((write) -> write.expectVersion() == Operation.ABSENT
					|| write.record().state() == ExecutionRecord.State.RESERVED)
			.map((write) -> write.key().toString())
			.toList();
		if (!keys.isEmpty()) {
			String row = RecordExpiry.hourPrefix(this.clock.instant()) + this.incarnation + "-" + commit.batch();
			operations.add(new Operation.Put(INDEX_TABLE, row, null, String.join("\n", keys)));
		}
	}

	private OnceEvent commitEvent(OnceAction.Commit commit, int size, Commit result) {
		if (result instanceof Commit.Committed committed && committed.versions().size() >= size) {
			return new OnceEvent.Committed(commit.batch(), committed.versions().subList(0, size));
		}
		if (result instanceof Commit.Conflict conflict) {
			return new OnceEvent.Conflicted(commit.batch(), conflictingRows(commit, conflict));
		}
		if (result instanceof Commit.Refused refused) {
			StoreFailure failure = refused.failure();
			return new OnceEvent.Refused(commit.batch(), failure.kind() == StoreFailure.Kind.RATE_LIMITED,
					failure.retryAfter());
		}
		LogEvent.of("execution-write-unresolved").with("batch", commit.batch()).log(LOGGER, Level.DEBUG);
		return new OnceEvent.Unknown(commit.batch());
	}

	private List<OnceEvent.Found> conflictingRows(OnceAction.Commit commit, Commit.Conflict conflict) {
		List<OnceEvent.Found> found = new ArrayList<>();
		for (Commit.ConflictRow row : conflict.rows()) {
			if (row.index() >= 0 && row.index() < commit.writes().size()) {
				String value = row.value();
				found.add(new OnceEvent.Found(commit.writes().get(row.index()).key(), (value != null)
						? new StoredRecord(row.version(), ExecutionRecordCodec.decode(value, this.clock.instant()))
						: null));
			}
		}
		return found;
	}

	private void readRows(OnceAction.Read read) {
		Map<ExecutionKey, CompletableFuture<Fetched<Row>>> reads = new HashMap<>();
		for (ExecutionKey key : read.keys()) {
			reads.put(key, this.tables.read(TABLE, key.toString()).toCompletableFuture());
		}
		CompletableFuture.allOf(reads.values().toArray(CompletableFuture<?>[]::new))
			.whenComplete((done, error) -> handle(
					(error != null) ? new OnceEvent.ReadFailed(read.batch()) : readEvent(read.batch(), reads)));
	}

	private OnceEvent readEvent(long batch, Map<ExecutionKey, CompletableFuture<Fetched<Row>>> reads) {
		Map<ExecutionKey, StoredRecord> rows = new HashMap<>();
		for (Map.Entry<ExecutionKey, CompletableFuture<Fetched<Row>>> entry : reads.entrySet()) {
			Fetched<Row> fetched = entry.getValue().join();
			if (fetched instanceof Fetched.Failed<Row>) {
				return new OnceEvent.ReadFailed(batch);
			}
			if (fetched instanceof Fetched.Found<Row> found) {
				Row row = found.value();
				rows.put(entry.getKey(), new StoredRecord(row.version(),
						ExecutionRecordCodec.decode(row.value(), this.clock.instant())));
			}
		}
		return new OnceEvent.RowsRead(batch, rows);
	}

	private void dispatch(long number) {
		PendingCall call = this.pendingCalls.get(number);
		if (call == null) {
			handle(new OnceEvent.Ended(number, new DispatchEnd.NotSent()));
			return;
		}
		CompletionStage<DispatchEnd> stage;
		try {
			stage = call.dispatch.get();
		}
		catch (RuntimeException ex) {
			stage = CompletableFuture.failedFuture(ex);
		}
		stage.whenComplete(
				(end, error) -> handle(new OnceEvent.Ended(number, (end != null) ? end : new DispatchEnd.Lost())));
	}

	private void answer(OnceAction.Answer answer) {
		PendingCall call = this.pendingCalls.remove(answer.call());
		if (call != null) {
			call.answer.complete(answer.answer());
		}
	}

	private record PendingCall(Supplier<CompletionStage<DispatchEnd>> dispatch,
			CompletableFuture<ExecutionAnswer> answer) {

	}

}
