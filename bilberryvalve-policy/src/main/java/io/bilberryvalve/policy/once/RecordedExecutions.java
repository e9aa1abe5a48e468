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
public final class RecordedExecutions implements ExecutionLedger {

	/** Longest difference between the clocks of two daemons. */
	static final Duration CLOCK_MARGIN = Duration.ofHours(1);

	/** Characters of results in memory; the table service keeps the others. */
	static final long RESULT_LENGTH = 8 << 20;

	private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(100);

	private final Clock clock;

	private final OnceLimits limits;

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
	public RecordedExecutions(Clock clock, OnceLimits limits, Supplier<String> tokens) {
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
	public void spacing(Duration time) {
		this.commits.spacing(time);
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
	public List<OnceAction> on(OnceEvent event) {
		Turn turn = new Turn(this.clock.instant());
		if (event instanceof OnceEvent.Called called) {
			called(called, turn);
		}
		else if (event instanceof OnceEvent.Ended ended) {
			ended(ended, turn);
		}
		else if (event instanceof OnceEvent.Tick) {
			expire(turn);
		}
		else {
			store(event, turn);
		}
		trimResults();
		commit(turn);
		return turn.actions;
	}

	private void expire(Turn turn) {
		if (turn.now.isBefore(this.nextExpiry)) {
			return;
		}
		this.nextExpiry = turn.now.plus(EXPIRY_INTERVAL);
		List.copyOf(this.attempts.values()).forEach((attempt) -> attempt.expire(turn));
	}

	private void called(OnceEvent.Called called, Turn turn) {
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
		attempt.call(called, turn);
	}

	private boolean makeRoom() {
		return this.attempts.size() < this.limits.keys() || forgetOldestSettled();
	}

	// The records stay in the table service.
	private void trimResults() {
		boolean more = true;
		while (more && this.resultLength > RESULT_LENGTH) {
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

	private void ended(OnceEvent.Ended ended, Turn turn) {
		ExecutionKey key = this.dispatches.remove(ended.call());
		KeyAttempt attempt = (key != null) ? this.attempts.get(key) : null;
		if (attempt != null) {
			attempt.ended(ended.call(), ended.end(), turn);
		}
	}

	private void store(OnceEvent event, Turn turn) {
		if (event instanceof OnceEvent.Committed committed) {
			committed(committed, turn);
		}
		else if (event instanceof OnceEvent.Conflicted conflicted) {
			conflicted(conflicted, turn);
		}
		else if (event instanceof OnceEvent.Refused refused) {
			refused(refused, turn);
		}
		else if (event instanceof OnceEvent.Unknown unknown) {
			unknown(unknown.batch(), turn);
		}
		else if (event instanceof OnceEvent.RowsRead rows) {
			read(rows, turn);
		}
		else if (event instanceof OnceEvent.ReadFailed failed) {
			this.commits.readAgain(failed.batch(), turn.now);
		}
	}

	private void committed(OnceEvent.Committed committed, Turn turn) {
		if (committed.versions().size() != this.commits.writes(committed.batch()).size()) {
			unknown(committed.batch(), turn);
			return;
		}
		List<RecordWrite> writes = this.commits.end(committed.batch());
		for (int i = 0; i < writes.size(); i++) {
			RecordWrite write = writes.get(i);
			attempt(write).committed(write.record(), committed.versions().get(i), turn);
		}
	}

	private void conflicted(OnceEvent.Conflicted conflicted, Turn turn) {
		Map<ExecutionKey, OnceEvent.Found> found = new HashMap<>();
		conflicted.rows().forEach((row) -> found.put(row.key(), row));
		boolean progress = false;
		for (RecordWrite write : this.commits.end(conflicted.batch())) {
			OnceEvent.Found row = found.get(write.key());
			if (row == null) {
				attempt(write).writeAgain(turn);
				continue;
			}
			progress = true;
			attempt(write).resolve(write.record(), row.row(), turn);
		}
		if (!progress) {
			this.commits.backOff(turn.now, null);
		}
	}

	private void refused(OnceEvent.Refused refused, Turn turn) {
		this.commits.backOff(turn.now, refused.retryAfter());
		for (RecordWrite write : this.commits.end(refused.batch())) {
			attempt(write).refused(refused.rateLimited(), turn);
		}
	}

	private void unknown(long batch, Turn turn) {
		List<RecordWrite> writes = this.commits.writes(batch);
		writes.forEach((write) -> attempt(write).fateUnknown());
		requestRead(batch, turn);
	}

	private void requestRead(long batch, Turn turn) {
		List<ExecutionKey> keys = this.commits.writes(batch).stream().map(RecordWrite::key).toList();
		if (!keys.isEmpty()) {
			turn.actions.add(new OnceAction.Read(batch, keys));
		}
	}

	private void read(OnceEvent.RowsRead rows, Turn turn) {
		for (RecordWrite write : this.commits.end(rows.batch())) {
			attempt(write).resolve(write.record(), rows.rows().get(write.key()), turn);
		}
	}

	private KeyAttempt attempt(RecordWrite write) {
		KeyAttempt attempt = this.attempts.get(write.key());
		if (attempt == null) {
			throw new IllegalStateException("no attempt for key " + write.key() + " of an unresolved batch");
		}
		return attempt;
	}

	private void commit(Turn turn) {
		this.commits.takeRereads(turn.now).forEach((batch) -> requestRead(batch, turn));
		while (this.commits.ready(turn.now)) {
			List<RecordWrite> writes = new ArrayList<>();
			for (ExecutionKey key : this.commits.take(turn.now)) {
				KeyAttempt attempt = this.attempts.get(key);
				if (attempt != null) {
					writes.add(attempt.beginWrite());
				}
			}
			if (!writes.isEmpty()) {
				turn.actions.add(new OnceAction.Commit(this.commits.start(writes), writes));
			}
		}
	}

	@Override
	public int unsettled() {
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
	private final class Turn implements Effects {

		private final Instant now;

		private final List<OnceAction> actions = new ArrayList<>();

		private final Set<Long> answered = new HashSet<>();

		Turn(Instant now) {
			this.now = now;
		}

		@Override
		public Instant now() {
			return this.now;
		}

		@Override
		public String nextToken() {
			return RecordedExecutions.this.tokens.get();
		}

		@Override
		public Instant forgetAt() {
			return this.now.plus(RecordedExecutions.this.limits.memory());
		}

		@Override
		public boolean expired(ExecutionRecord record) {
			Duration age = RecordedExecutions.this.limits.lifetime().plus(CLOCK_MARGIN);
			return !record.createdAt().plus(age).isAfter(this.now);
		}

		@Override
		public void answer(long call, ExecutionAnswer answer) {
			if (this.answered.add(call)) {
				this.actions.add(new OnceAction.Answer(call, answer));
			}
		}

		@Override
		public void dispatch(long call, ExecutionKey key) {
			RecordedExecutions.this.dispatches.put(call, key);
			this.actions.add(new OnceAction.Dispatch(call, key));
		}

		@Override
		public void write(ExecutionKey key) {
			RecordedExecutions.this.commits.add(key);
		}

		@Override
		public void settled(int length) {
			RecordedExecutions.this.resultLength += length;
		}

		@Override
		public void forget(ExecutionKey key) {
			KeyAttempt attempt = RecordedExecutions.this.attempts.remove(key);
			if (attempt != null && attempt.settled()) {
				RecordedExecutions.this.resultLength -= attempt.resultLength();
			}
			RecordedExecutions.this.commits.cancel(key);
		}

	}

}
