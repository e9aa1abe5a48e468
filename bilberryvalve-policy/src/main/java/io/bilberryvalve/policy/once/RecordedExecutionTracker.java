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
 * Execution tracker that inserts a record into the table service before it dispatches a
 * call, so that the call runs at most once. A record whose call may have been dispatched
 * is not replaced by another attempt before the end of its lifetime. Not safe for use by
 * several threads.
 */
public final class RecordedExecutionTracker implements ExecutionTracker {

	/** Largest supported difference between the clocks of two daemons. */
	static final Duration CLOCK_MARGIN = Duration.ofHours(1);

	/**
	 * Largest total length of the results in memory, in characters. Beyond it the oldest
	 * settled keys are removed from memory; their results remain in the table service.
	 */
	static final long MAX_RESULT_CHARS = 8 << 20;

	private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(100);

	private final Clock clock;

	private final ExecutionLimits limits;

	private final Supplier<String> tokens;

	private final GroupCommit groupCommit;

	private final Map<ExecutionKey, KeyAttempt> attempts = new LinkedHashMap<>();

	private final Map<Long, ExecutionKey> dispatches = new HashMap<>();

	private Instant nextExpiry = Instant.MIN;

	private long resultLength;

	/**
	 * Creates a tracker without keys.
	 * @param clock monotonic clock
	 * @param limits limits of batches, memory and record lifetime
	 * @param tokens source of attempt tokens, each unique across all daemons and their
	 * restarts
	 */
	public RecordedExecutionTracker(Clock clock, ExecutionLimits limits, Supplier<String> tokens) {
		this.clock = clock;
		this.limits = limits;
		this.tokens = tokens;
		this.groupCommit = new GroupCommit(limits);
	}

	/**
	 * Sets the shortest time between the starts of two transactions. A daemon derives it
	 * from the number of daemons that share the table service.
	 * @param time the interval, zero for no limit
	 */
	public void commitInterval(Duration time) {
		this.groupCommit.commitInterval(time);
	}

	/**
	 * Returns the number of keys in memory.
	 * @return number of keys, settled ones included
	 */
	public int size() {
		return this.attempts.size();
	}

	long resultLength() {
		return this.resultLength;
	}

	@Override
	public List<ExecutionAction> handle(ExecutionEvent event) {
		EventEffects effects = new EventEffects(this.clock.instant());
		if (event instanceof ExecutionEvent.CallReceived received) {
			callReceived(received, effects);
		}
		else if (event instanceof ExecutionEvent.DispatchEnded ended) {
			dispatchEnded(ended, effects);
		}
		else if (event instanceof ExecutionEvent.Tick) {
			applyTimeouts(effects);
		}
		else {
			handleStoreEvent(event, effects);
		}
		trimResults();
		startBatches(effects);
		return effects.actions;
	}

	private void applyTimeouts(EventEffects effects) {
		if (effects.now.isBefore(this.nextExpiry)) {
			return;
		}
		this.nextExpiry = effects.now.plus(EXPIRY_INTERVAL);
		List.copyOf(this.attempts.values()).forEach((attempt) -> attempt.applyTimeouts(effects));
	}

	private void callReceived(ExecutionEvent.CallReceived received, EventEffects effects) {
		if (!received.deadline().isAfter(effects.now)) {
			effects.answer(received.call(), new ExecutionAnswer.NotRun(ExecutionAnswer.Reason.DEADLINE));
			return;
		}
		KeyAttempt attempt = this.attempts.get(received.key());
		if (attempt == null) {
			if (!makeRoom()) {
				effects.answer(received.call(), new ExecutionAnswer.NotRun(ExecutionAnswer.Reason.OVERLOADED));
				return;
			}
			attempt = new KeyAttempt(received.key(), received.requestDigest(), effects);
			this.attempts.put(received.key(), attempt);
			effects.write(received.key());
		}
		attempt.addCall(received, effects);
	}

	private boolean makeRoom() {
		return this.attempts.size() < this.limits.maxKeys() || forgetOldestSettled();
	}

	// Removes settled keys from memory; their records stay in the table service.
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

	private void dispatchEnded(ExecutionEvent.DispatchEnded ended, EventEffects effects) {
		ExecutionKey key = this.dispatches.remove(ended.call());
		KeyAttempt attempt = (key != null) ? this.attempts.get(key) : null;
		if (attempt != null) {
			attempt.dispatchEnded(ended.call(), ended.result(), effects);
		}
	}

	private void handleStoreEvent(ExecutionEvent event, EventEffects effects) {
		if (event instanceof ExecutionEvent.Committed committed) {
			committed(committed, effects);
		}
		else if (event instanceof ExecutionEvent.Conflicted conflicted) {
			conflicted(conflicted, effects);
		}
		else if (event instanceof ExecutionEvent.Refused refused) {
			refused(refused, effects);
		}
		else if (event instanceof ExecutionEvent.CommitUnknown unknown) {
			unknown(unknown.batch(), effects);
		}
		else if (event instanceof ExecutionEvent.RowsRead rows) {
			rowsRead(rows, effects);
		}
		else if (event instanceof ExecutionEvent.ReadFailed failed) {
			this.groupCommit.scheduleReread(failed.batch(), effects.now);
		}
	}

	private void committed(ExecutionEvent.Committed committed, EventEffects effects) {
		if (committed.versions().size() != this.groupCommit.writes(committed.batch()).size()) {
			unknown(committed.batch(), effects);
			return;
		}
		List<RecordWrite> writes = this.groupCommit.endBatch(committed.batch());
		for (int i = 0; i < writes.size(); i++) {
			RecordWrite write = writes.get(i);
			attempt(write).writeCommitted(write.record(), committed.versions().get(i), effects);
		}
	}

	private void conflicted(ExecutionEvent.Conflicted conflicted, EventEffects effects) {
		Map<ExecutionKey, ExecutionEvent.ConflictingRow> found = new HashMap<>();
		conflicted.rows().forEach((row) -> found.put(row.key(), row));
		boolean progress = false;
		for (RecordWrite write : this.groupCommit.endBatch(conflicted.batch())) {
			ExecutionEvent.ConflictingRow row = found.get(write.key());
			if (row == null) {
				attempt(write).retryWrite(effects);
				continue;
			}
			progress = true;
			attempt(write).resolveWrite(write.record(), row.row(), effects);
		}
		if (!progress) {
			this.groupCommit.backOff(effects.now, null);
		}
	}

	private void refused(ExecutionEvent.Refused refused, EventEffects effects) {
		this.groupCommit.backOff(effects.now, refused.retryAfter());
		for (RecordWrite write : this.groupCommit.endBatch(refused.batch())) {
			attempt(write).writeRefused(refused.rateLimited(), effects);
		}
	}

	private void unknown(long batch, EventEffects effects) {
		List<RecordWrite> writes = this.groupCommit.writes(batch);
		writes.forEach((write) -> attempt(write).writeResultUnknown());
		requestRead(batch, effects);
	}

	private void requestRead(long batch, EventEffects effects) {
		List<ExecutionKey> keys = this.groupCommit.writes(batch).stream().map(RecordWrite::key).toList();
		if (!keys.isEmpty()) {
			effects.actions.add(new ExecutionAction.ReadRows(batch, keys));
		}
	}

	private void rowsRead(ExecutionEvent.RowsRead rows, EventEffects effects) {
		for (RecordWrite write : this.groupCommit.endBatch(rows.batch())) {
			attempt(write).resolveWrite(write.record(), rows.rows().get(write.key()), effects);
		}
	}

	private KeyAttempt attempt(RecordWrite write) {
		KeyAttempt attempt = this.attempts.get(write.key());
		if (attempt == null) {
			throw new IllegalStateException("no attempt for key " + write.key() + " of an unresolved batch");
		}
		return attempt;
	}

	private void startBatches(EventEffects effects) {
		this.groupCommit.takeDueRereads(effects.now).forEach((batch) -> requestRead(batch, effects));
		while (this.groupCommit.canStartBatch(effects.now)) {
			List<RecordWrite> writes = new ArrayList<>();
			for (ExecutionKey key : this.groupCommit.takeBatchKeys(effects.now)) {
				KeyAttempt attempt = this.attempts.get(key);
				if (attempt != null) {
					writes.add(attempt.beginWrite());
				}
			}
			if (!writes.isEmpty()) {
				effects.actions.add(new ExecutionAction.Commit(this.groupCommit.startBatch(writes), writes));
			}
		}
	}

	@Override
	public int unsettledKeys() {
		return (int) this.attempts.values().stream().filter((attempt) -> !attempt.settled()).count();
	}

	@Override
	public @Nullable Instant nextTick() {
		Instant next = this.groupCommit.nextTick();
		boolean scan = !this.attempts.isEmpty() && (next == null || this.nextExpiry.isBefore(next));
		return scan ? this.nextExpiry : next;
	}

	/**
	 * Collects the effects of one event.
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
			RecordedExecutionTracker.this.groupCommit.add(key);
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
			RecordedExecutionTracker.this.groupCommit.cancel(key);
		}

	}

}
