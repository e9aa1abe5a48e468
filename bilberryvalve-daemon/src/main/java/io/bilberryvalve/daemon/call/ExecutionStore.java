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
 * Carries the actions of an {@link ExecutionLedger} to the table service. Safe for use by
 * several threads.
 */
public final class ExecutionStore {

	/** Table of the execution records. */
	public static final String TABLE = "executions";

	/** Table of the index rows by which expired records are found. */
	public static final String INDEX_TABLE = "execution-expiry";

	private static final Logger LOGGER = System.getLogger(ExecutionStore.class.getName());

	private final TableService tables;

	private final ExecutionLedger ledger;

	private final String incarnation;

	private final Clock clock;

	private final Timer timer;

	private final Map<Long, Call> calls = new ConcurrentHashMap<>();

	private final AtomicLong sequence = new AtomicLong();

	private Instant armedFor = Instant.MAX;

	/**
	 * Creates a store without calls.
	 * @param tables table service
	 * @param ledger decides; this store must be its only user
	 * @param incarnation text that is unique to this run of the daemon
	 * @param clock clock of the ledger
	 * @param timer runs due work
	 */
	public ExecutionStore(TableService tables, ExecutionLedger ledger, String incarnation, Clock clock, Timer timer) {
		this.tables = tables;
		this.ledger = ledger;
		this.incarnation = incarnation;
		this.clock = clock;
		this.timer = timer;
	}

	/**
	 * Makes a call at most once.
	 * @param key key of the call
	 * @param requestDigest digest of the request
	 * @param deadline when the caller stops waiting
	 * @param dispatch sends the call to an upstream; it is used at most once
	 * @return the answer
	 */
	public CompletionStage<ExecutionAnswer> call(ExecutionKey key, String requestDigest, Instant deadline,
			Supplier<CompletionStage<DispatchEnd>> dispatch) {
		long number = this.sequence.getAndIncrement();
		Call call = new Call(dispatch, new CompletableFuture<>());
		this.calls.put(number, call);
		on(new OnceEvent.Called(number, key, requestDigest, deadline));
		return call.answer;
	}

	/**
	 * Runs work that is due.
	 */
	public void tick() {
		on(new OnceEvent.Tick());
	}

	/**
	 * Returns the number of calls whose record or result is not yet in the table service.
	 * @return the number; a daemon that leaves waits until it is 0 or its patience ends
	 */
	public synchronized int unsettled() {
		return this.ledger.unsettled();
	}

	private void on(OnceEvent event) {
		List<OnceAction> actions;
		synchronized (this) {
			actions = this.ledger.on(event);
			arm();
		}
		actions.forEach(this::run);
	}

	private void arm() {
		Instant next = this.ledger.nextTick();
		if (next == null || !next.isBefore(this.armedFor)) {
			return;
		}
		this.armedFor = next;
		Instant now = this.clock.instant();
		this.timer.after(next.isAfter(now) ? Duration.between(now, next) : Duration.ZERO, this::wake);
	}

	private void wake() {
		synchronized (this) {
			this.armedFor = Instant.MAX;
		}
		tick();
	}

	private void run(OnceAction action) {
		if (action instanceof OnceAction.Commit commit) {
			commit(commit);
		}
		else if (action instanceof OnceAction.Read read) {
			read(read);
		}
		else if (action instanceof OnceAction.Dispatch dispatch) {
			dispatch(dispatch.call());
		}
		else if (action instanceof OnceAction.Answer answer) {
			answer(answer);
		}
	}

	private void commit(OnceAction.Commit commit) {
		List<RowOperation> operations = new ArrayList<>();
		for (RecordWrite write : commit.writes()) {
			operations.add(new RowOperation.Put(TABLE, write.key().toString(), write.expectVersion(),
					RecordCodec.encode(write.record())));
		}
		addIndex(commit, operations);
		int size = commit.writes().size();
		this.tables.commit(operations).whenComplete((result, error) -> {
			if (result == null) {
				on(new OnceEvent.Unknown(commit.batch()));
				return;
			}
			on(event(commit, size, result));
		});
	}

	private void addIndex(OnceAction.Commit commit, List<RowOperation> operations) {
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

	private OnceEvent event(OnceAction.Commit commit, int size, CommitResult result) {
		if (result instanceof CommitResult.Committed committed && committed.versions().size() >= size) {
			return new OnceEvent.Committed(commit.batch(), committed.versions().subList(0, size));
		}
		if (result instanceof CommitResult.Conflict conflict) {
			return new OnceEvent.Conflicted(commit.batch(), found(commit, conflict));
		}
		if (result instanceof CommitResult.Refused refused) {
			StoreFailure failure = refused.failure();
			return new OnceEvent.Refused(commit.batch(), failure.kind() == StoreFailure.Kind.RATE_LIMITED,
					failure.retryAfter());
		}
		LogEvent.of("execution-write-unresolved").with("batch", commit.batch()).log(LOGGER, Level.DEBUG);
		return new OnceEvent.Unknown(commit.batch());
	}

	private List<OnceEvent.Found> found(OnceAction.Commit commit, CommitResult.Conflict conflict) {
		List<OnceEvent.Found> found = new ArrayList<>();
		for (CommitResult.ConflictRow row : conflict.rows()) {
			if (row.index() >= 0 && row.index() < commit.writes().size()) {
				String value = row.value();
				found.add(new OnceEvent.Found(commit.writes().get(row.index()).key(), (value != null)
						? new StoredRecord(row.version(), RecordCodec.decode(value, this.clock.instant())) : null));
			}
		}
		return found;
	}

	private void read(OnceAction.Read read) {
		Map<ExecutionKey, CompletableFuture<ReadResult<Row>>> reads = new HashMap<>();
		for (ExecutionKey key : read.keys()) {
			reads.put(key, this.tables.read(TABLE, key.toString()).toCompletableFuture());
		}
		CompletableFuture.allOf(reads.values().toArray(CompletableFuture<?>[]::new))
			.whenComplete((done, error) -> on(
					(error != null) ? new OnceEvent.ReadFailed(read.batch()) : readEvent(read.batch(), reads)));
	}

	private OnceEvent readEvent(long batch, Map<ExecutionKey, CompletableFuture<ReadResult<Row>>> reads) {
		Map<ExecutionKey, StoredRecord> rows = new HashMap<>();
		for (Map.Entry<ExecutionKey, CompletableFuture<ReadResult<Row>>> entry : reads.entrySet()) {
			ReadResult<Row> fetched = entry.getValue().join();
			if (fetched instanceof ReadResult.Failed<Row>) {
				return new OnceEvent.ReadFailed(batch);
			}
			if (fetched instanceof ReadResult.Found<Row> found) {
				Row row = found.value();
				rows.put(entry.getKey(),
						new StoredRecord(row.version(), RecordCodec.decode(row.value(), this.clock.instant())));
			}
		}
		return new OnceEvent.RowsRead(batch, rows);
	}

	private void dispatch(long number) {
		Call call = this.calls.get(number);
		if (call == null) {
			on(new OnceEvent.Ended(number, new DispatchEnd.NotSent()));
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
				(end, error) -> on(new OnceEvent.Ended(number, (end != null) ? end : new DispatchEnd.Lost())));
	}

	private void answer(OnceAction.Answer answer) {
		Call call = this.calls.remove(answer.call());
		if (call != null) {
			call.answer.complete(answer.answer());
		}
	}

	private record Call(Supplier<CompletionStage<DispatchEnd>> dispatch, CompletableFuture<ExecutionAnswer> answer) {

	}

}
