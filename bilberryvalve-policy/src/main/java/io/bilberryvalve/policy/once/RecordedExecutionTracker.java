package io.bilberryvalve.policy.once;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * Runs a call at most once through a record that is inserted before the dispatch. A
 * record that may have been dispatched is never taken over by another attempt before the
 * end of its lifetime.
 */
public final class RecordedExecutionTracker implements ExecutionTracker {

	/** Longest difference between the clocks of two daemons. */
	static final Duration CLOCK_MARGIN = Duration.ofHours(1);

	/** Characters of results in memory; the table service keeps the others. */
	static final long MAX_RESULT_CHARS = 8 << 20;

	private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(100);

	private final Clock clock;

	private final ExecutionLimits limits;

	private final Supplier<String> tokens;

	private final GroupCommit commits;

	private final Map<ExecutionKey, KeyAttempt> attempts = new LinkedHashMap<>();

	private final Map<Long, ExecutionKey> dispatches = new HashMap<>();

	private Instant nextExpiry = Instant.MIN;

	private long resultLength;

	/**
	 * Creates a ledger without keys.
	 * @param clock monotonic clock
	 * @param limits limits
	 * @param tokens gives attempt tokens, each unique across all daemons and their
	 * restarts
	 */
	public RecordedExecutionTracker(Clock clock, ExecutionLimits limits, Supplier<String> tokens) {
		this.clock = clock;
		this.limits = limits;
		this.tokens = tokens;
		this.commits = new GroupCommit(limits);
	}

	/**
	 * Sets the shortest time between the starts of two transactions. A daemon derives it
	 * from the number of daemons that share the table service.
	 * @param time the time
	 */
	public void commitInterval(Duration time) {
		this.commits.commitInterval(time);
	}

	/**
	 * Returns the number of keys in memory.
	 * @return the number
	 */
	public int size() {
		return this.attempts.size();
	}

	long resultLength() {
		return this.resultLength;
	}

	@Override
	public List<ExecutionAction> handle(ExecutionEvent event) {
		EventEffects turn = new EventEffects(this.clock.instant());
		if (event instanceof ExecutionEvent.CallReceived called) {
			called(called, turn);
		}
		else if (event instanceof ExecutionEvent.DispatchEnded ended) {
			ended(ended, turn);
		}
		else if (event instanceof ExecutionEvent.Tick) {
			applyTimeouts(turn);
		}
		else {
			handleStoreEvent(event, turn);
		}
		trimResults();
		startBatches(turn);
		return turn.actions;
	}

	private void applyTimeouts(EventEffects turn) {
		if (turn.now.isBefore(this.nextExpiry)) {
			return;
		}
		this.nextExpiry = turn.now.plus(EXPIRY_INTERVAL);
		List.copyOf(this.attempts.values()).forEach((attempt) -> attempt.applyTimeouts(turn));
	}

	private void called(ExecutionEvent.CallReceived called, EventEffects turn) {
		if (!called.deadline().isAfter(turn.now)) {
			turn.answer(called.call(), new ExecutionAnswer.NotRun(ExecutionAnswer.Reason.DEADLINE));
			return;
		}
		KeyAttempt attempt = this.attempts.get(called.key());
		if (attempt == null) {
			if (!makeRoom()) {
				turn.answer(called.call(), new ExecutionAnswer.NotRun(ExecutionAnswer.Reason.OVERLOADED));
				return;
			}
			attempt = new KeyAttempt(called.key(), called.requestDigest(), turn);
			this.attempts.put(called.key(), attempt);
			turn.write(called.key());
		}
		attempt.addCall(called, turn);
	}

	private boolean makeRoom() {
		return this.attempts.size() < this.limits.maxKeys() || forgetOldestSettled();
	}

	// The records stay in the table service.
	private void trimResults() {
		boolean more = true;
		while (more && this.resultLength > MAX_RESULT_CHARS) {
			more = forgetOldestSettled();
		}
	}

	private boolean forgetOldestSettled() {
		Iterator<KeyAttempt> iterator = this.attempts.values().iterator();
		while (iterator.hasNext()) {
			KeyAttempt attempt = iterator.next();
			if (attempt.settled()) {
				iterator.remove();
				this.resultLength -= attempt.resultLength();
				return true;
			}
		}
		return false;
	}

	private void ended(ExecutionEvent.DispatchEnded ended, EventEffects turn) {
		ExecutionKey key = this.dispatches.remove(ended.call());
		KeyAttempt attempt = (key != null) ? this.attempts.get(key) : null;
		if (attempt != null) {
			attempt.dispatchEnded(ended.call(), ended.end(), turn);
		}
	}

	private void handleStoreEvent(ExecutionEvent event, EventEffects turn) {
		if (event instanceof ExecutionEvent.Committed committed) {
			committed(committed, turn);
		}
		else if (event instanceof ExecutionEvent.Conflicted conflicted) {
			conflicted(conflicted, turn);
		}
		else if (event instanceof ExecutionEvent.Refused refused) {
			refused(refused, turn);
		}
		else if (event instanceof ExecutionEvent.CommitUnknown unknown) {
			unknown(unknown.batch(), turn);
		}
		else if (event instanceof ExecutionEvent.RowsRead rows) {
			rowsRead(rows, turn);
		}
		else if (event instanceof ExecutionEvent.ReadFailed failed) {
			this.commits.scheduleReread(failed.batch(), turn.now);
		}
	}

	private void committed(ExecutionEvent.Committed committed, EventEffects turn) {
		if (committed.versions().size() != this.commits.writes(committed.batch()).size()) {
			unknown(committed.batch(), turn);
			return;
		}
		List<RecordWrite> writes = this.commits.endBatch(committed.batch());
		for (int i = 0; i < writes.size(); i++) {
			RecordWrite write = writes.get(i);
			attempt(write).writeCommitted(write.record(), committed.versions().get(i), turn);
		}
	}

	private void conflicted(ExecutionEvent.Conflicted conflicted, EventEffects turn) {
		Map<ExecutionKey, ExecutionEvent.ConflictingRow> found = new HashMap<>();
		conflicted.rows().forEach((row) -> found.put(row.key(), row));
		boolean progress = false;
		for (RecordWrite write : this.commits.endBatch(conflicted.batch())) {
			ExecutionEvent.ConflictingRow row = found.get(write.key());
			if (row == null) {
				attempt(write).retryWrite(turn);
				continue;
			}
			progress = true;
			attempt(write).resolveWrite(write.record(), row.row(), turn);
		}
		if (!progress) {
			this.commits.backOff(turn.now, null);
		}
	}

	private void refused(ExecutionEvent.Refused refused, EventEffects turn) {
		this.commits.backOff(turn.now, refused.retryAfter());
		for (RecordWrite write : this.commits.endBatch(refused.batch())) {
			attempt(write).writeRefused(refused.rateLimited(), turn);
		}
	}

	private void unknown(long batch, EventEffects turn) {
		List<RecordWrite> writes = this.commits.writes(batch);
		writes.forEach((write) -> attempt(write).writeResultUnknown());
		requestRead(batch, turn);
	}

	private void requestRead(long batch, EventEffects turn) {
		List<ExecutionKey> keys = this.commits.writes(batch).stream().map(RecordWrite::key).toList();
		if (!keys.isEmpty()) {
			turn.actions.add(new ExecutionAction.ReadRows(batch, keys));
		}
	}

	private void rowsRead(ExecutionEvent.RowsRead rows, EventEffects turn) {
		for (RecordWrite write : this.commits.endBatch(rows.batch())) {
			attempt(write).resolveWrite(write.record(), rows.rows().get(write.key()), turn);
		}
	}

	private KeyAttempt attempt(RecordWrite write) {
		KeyAttempt attempt = this.attempts.get(write.key());
		if (attempt == null) {
			throw new IllegalStateException("no attempt for key " + write.key() + " of an unresolved batch");
		}
		return attempt;
	}

	private void startBatches(EventEffects turn) {
		this.commits.takeDueRereads(turn.now).forEach((batch) -> requestRead(batch, turn));
		while (this.commits.canStartBatch(turn.now)) {
			List<RecordWrite> writes = new ArrayList<>();
			for (ExecutionKey key : this.commits.takeBatchKeys(turn.now)) {
				KeyAttempt attempt = this.attempts.get(key);
				if (attempt != null) {
					writes.add(attempt.beginWrite());
				}
			}
			if (!writes.isEmpty()) {
				turn.actions.add(new ExecutionAction.Commit(this.commits.startBatch(writes), writes));
			}
		}
	}

	@Override
	public int unsettledKeys() {
		return (int) this.attempts.values().stream().filter((attempt) -> !attempt.settled()).count();
	}

	@Override
	public @Nullable Instant nextTick() {
		Instant next = this.commits.nextTick();
		boolean scan = !this.attempts.isEmpty() && (next == null || this.nextExpiry.isBefore(next));
		return scan ? this.nextExpiry : next;
	}

	/**
	 * Effects of one event.
	 */
	private final class EventEffects implements AttemptEffects {

		private final Instant now;

		private final List<ExecutionAction> actions = new ArrayList<>();

		private final Set<Long> answered = new HashSet<>();

		EventEffects(Instant now) {
			this.now = now;
		}

		@Override
		public Instant now() {
			return this.now;
		}

		@Override
		public String nextAttemptToken() {
			return RecordedExecutionTracker.this.tokens.get();
		}

		@Override
		public Instant forgetAt() {
			return this.now.plus(RecordedExecutionTracker.this.limits.resultRetention());
		}

		@Override
		public boolean expired(ExecutionRecord record) {
			Duration age = RecordedExecutionTracker.this.limits.recordLifetime().plus(CLOCK_MARGIN);
			return !record.createdAt().plus(age).isAfter(this.now);
		}

		@Override
		public void answer(long call, ExecutionAnswer answer) {
			if (this.answered.add(call)) {
				this.actions.add(new ExecutionAction.Answer(call, answer));
			}
		}

		@Override
		public void dispatch(long call, ExecutionKey key) {
			RecordedExecutionTracker.this.dispatches.put(call, key);
			this.actions.add(new ExecutionAction.Dispatch(call, key));
		}

		@Override
		public void write(ExecutionKey key) {
			RecordedExecutionTracker.this.commits.add(key);
		}

		@Override
		public void addResultLength(int length) {
			RecordedExecutionTracker.this.resultLength += length;
		}

		@Override
		public void forget(ExecutionKey key) {
			KeyAttempt attempt = RecordedExecutionTracker.this.attempts.remove(key);
			if (attempt != null && attempt.settled()) {
				RecordedExecutionTracker.this.resultLength -= attempt.resultLength();
			}
			RecordedExecutionTracker.this.commits.cancel(key);
		}

	}

}
