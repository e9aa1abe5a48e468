package io.bilberryvalve.policy.once;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * State machine of one key at an entry that received calls with it. It reserves the key
 * with a record in the table service, dispatches one of the calls, records the result,
 * and answers all calls that wait for it. Several attempts with one key may follow each
 * other. Not safe for use by several threads.
 */
final class KeyAttempt {

	private final ExecutionKey key;

	private final String requestDigest;

	private final List<Waiter> waiters = new ArrayList<>();

	private Phase phase = Phase.RESERVING;

	private ExecutionRecord desiredRecord;

	private long expectVersion;

	private boolean inBatch;

	private boolean mayBeWritten;

	private @Nullable String result;

	private Instant forgetAt = Instant.MAX;

	private long dispatchedCall = -1;

	KeyAttempt(ExecutionKey key, String requestDigest, AttemptEffects effects) {
		this.key = key;
		this.requestDigest = requestDigest;
		this.desiredRecord = reservation(effects);
	}

	private ExecutionRecord reservation(AttemptEffects effects) {
		return new ExecutionRecord(this.requestDigest, effects.nextAttemptToken(), ExecutionRecord.State.RESERVED,
				effects.now(), null);
	}

	void addCall(ExecutionEvent.CallReceived call, AttemptEffects effects) {
		if (!this.requestDigest.equals(call.requestDigest())) {
			effects.answer(call.call(), new ExecutionAnswer.KeyReused());
		}
		else if (this.result != null) {
			effects.answer(call.call(), new ExecutionAnswer.Completed(this.result, true));
		}
		else if (this.phase == Phase.SETTLED) {
			effects.answer(call.call(), new ExecutionAnswer.Lost());
		}
		else {
			this.waiters.add(new Waiter(call.call(), call.deadline()));
		}
	}

	RecordWrite beginWrite() {
		this.inBatch = true;
		return new RecordWrite(this.key, this.expectVersion, this.desiredRecord);
	}

	void writeCommitted(ExecutionRecord sent, long version, AttemptEffects effects) {
		this.inBatch = false;
		this.expectVersion = version;
		this.mayBeWritten = true;
		if (sent.state() == ExecutionRecord.State.COMPLETED) {
			settle(effects);
		}
		else if (sent.state() == ExecutionRecord.State.RELEASED) {
			releaseWritten(effects);
		}
		else if (this.phase == Phase.RESERVING) {
			reservationWritten(effects);
		}
		else {
			effects.write(this.key);
		}
	}

	private void reservationWritten(AttemptEffects effects) {
		applyTimeouts(effects);
		if (this.phase == Phase.RESERVING) {
			this.phase = Phase.DISPATCHED;
			this.dispatchedCall = this.waiters.get(0).call();
			effects.dispatch(this.dispatchedCall, this.key);
		}
	}

	private void releaseWritten(AttemptEffects effects) {
		applyTimeouts(effects);
		if (this.waiters.isEmpty()) {
			effects.forget(this.key);
		}
		else {
			reserveAgain(effects);
		}
	}

	private void reserveAgain(AttemptEffects effects) {
		this.phase = Phase.RESERVING;
		this.mayBeWritten = false;
		this.desiredRecord = reservation(effects);
		effects.write(this.key);
	}

	// Compares the stored row with a write that conflicted or whose result is
	// unknown.
	void resolveWrite(ExecutionRecord sent, @Nullable StoredRecord row, AttemptEffects effects) {
		this.inBatch = false;
		if (row == null) {
			resolveMissingRow(effects);
		}
		else if (row.record().token().equals(sent.token())) {
			resolveOwnRow(sent, row, effects);
		}
		else {
			resolveForeignRow(row, effects);
		}
	}

	private void resolveMissingRow(AttemptEffects effects) {
		boolean removed = this.expectVersion > 0;
		this.expectVersion = 0;
		if (removed && this.phase == Phase.RECORDING) {
			settle(effects);
		}
		else if (removed && this.phase == Phase.RELEASING) {
			releaseWritten(effects);
		}
		else {
			effects.write(this.key);
		}
	}

	private void resolveOwnRow(ExecutionRecord sent, StoredRecord row, AttemptEffects effects) {
		if (row.record().state() == sent.state()) {
			writeCommitted(sent, row.version(), effects);
			return;
		}
		this.expectVersion = row.version();
		effects.write(this.key);
	}

	private void resolveForeignRow(StoredRecord row, AttemptEffects effects) {
		if (this.phase == Phase.RECORDING) {
			settle(effects);
			return;
		}
		if (this.phase == Phase.RELEASING && this.waiters.isEmpty()) {
			effects.forget(this.key);
			return;
		}
		if (this.phase == Phase.RELEASING) {
			this.phase = Phase.RESERVING;
			this.mayBeWritten = false;
			this.desiredRecord = reservation(effects);
		}
		replaceOrAnswer(row, effects);
	}

	// An expired or released record does not protect its key, so any request may
	// replace it.
	private void replaceOrAnswer(StoredRecord row, AttemptEffects effects) {
		ExecutionRecord record = row.record();
		boolean same = record.requestDigest().equals(this.requestDigest);
		if (effects.expired(record) || record.state() == ExecutionRecord.State.RELEASED) {
			this.expectVersion = row.version();
			effects.write(this.key);
			return;
		}
		if (!same) {
			answerAll(new ExecutionAnswer.KeyReused(), effects);
			effects.forget(this.key);
		}
		else if (record.result() != null) {
			this.result = record.result();
			answerAll(new ExecutionAnswer.Completed(this.result, true), effects);
			settle(effects);
		}
		else {
			answerAll(new ExecutionAnswer.InProgress(), effects);
			effects.forget(this.key);
		}
	}

	void writeRefused(boolean retry, AttemptEffects effects) {
		this.inBatch = false;
		if (this.phase == Phase.RESERVING && !retry) {
			giveUp(ExecutionAnswer.Reason.STORE_UNAVAILABLE, effects);
		}
		else if (this.phase == Phase.RELEASING && !this.mayBeWritten && this.waiters.isEmpty()) {
			effects.forget(this.key);
		}
		else {
			effects.write(this.key);
		}
	}

	// Repeats a write that had no effect because other rows of its transaction
	// conflicted.
	void retryWrite(AttemptEffects effects) {
		writeRefused(true, effects);
	}

	void writeResultUnknown() {
		this.mayBeWritten = true;
	}

	private void giveUp(ExecutionAnswer.Reason reason, AttemptEffects effects) {
		answerAll(new ExecutionAnswer.NotRun(reason), effects);
		releaseReservation(effects);
	}

	private void releaseReservation(AttemptEffects effects) {
		if (!this.inBatch && !this.mayBeWritten) {
			effects.forget(this.key);
			return;
		}
		this.phase = Phase.RELEASING;
		this.desiredRecord = this.desiredRecord.released();
		if (!this.inBatch) {
			effects.write(this.key);
		}
	}

	void dispatchEnded(long call, DispatchResult result, AttemptEffects effects) {
		if (this.phase != Phase.DISPATCHED || call != this.dispatchedCall) {
			return;
		}
		if (result instanceof DispatchResult.Replied replied) {
			replyReceived(replied.result(), effects);
		}
		else if (result instanceof DispatchResult.NotSent) {
			giveUp(ExecutionAnswer.Reason.NO_UPSTREAM, effects);
		}
		else {
			answerAll(new ExecutionAnswer.Lost(), effects);
			settle(effects);
		}
	}

	private void replyReceived(String value, AttemptEffects effects) {
		this.result = value;
		for (Waiter waiter : this.waiters) {
			boolean repeated = waiter.call() != this.dispatchedCall;
			effects.answer(waiter.call(), new ExecutionAnswer.Completed(value, repeated));
		}
		this.waiters.clear();
		this.phase = Phase.RECORDING;
		this.desiredRecord = this.desiredRecord.completed(value);
		effects.write(this.key);
	}

	void applyTimeouts(AttemptEffects effects) {
		ExecutionAnswer answer = (this.phase == Phase.DISPATCHED) ? new ExecutionAnswer.Lost()
				: new ExecutionAnswer.NotRun(ExecutionAnswer.Reason.DEADLINE);
		Iterator<Waiter> iterator = this.waiters.iterator();
		while (iterator.hasNext()) {
			Waiter waiter = iterator.next();
			if (!waiter.deadline().isAfter(effects.now())) {
				iterator.remove();
				effects.answer(waiter.call(), answer);
			}
		}
		if (this.phase == Phase.RESERVING && this.waiters.isEmpty()) {
			releaseReservation(effects);
		}
		if (this.phase == Phase.SETTLED && !this.forgetAt.isAfter(effects.now())) {
			effects.forget(this.key);
		}
	}

	private void settle(AttemptEffects effects) {
		this.phase = Phase.SETTLED;
		this.forgetAt = effects.forgetAt();
		effects.addResultLength(resultLength());
	}

	int resultLength() {
		return (this.result != null) ? this.result.length() : 0;
	}

	private void answerAll(ExecutionAnswer answer, AttemptEffects effects) {
		this.waiters.forEach((waiter) -> effects.answer(waiter.call(), answer));
		this.waiters.clear();
	}

	boolean settled() {
		return this.phase == Phase.SETTLED;
	}

	private enum Phase {

		/** The record is being inserted; it is not known to be stored. */
		RESERVING,

		/** The record is stored; the call may have been sent. */
		DISPATCHED,

		/** The result is known and is being written to the record. */
		RECORDING,

		/** No call was sent; the record is being released. */
		RELEASING,

		/**
		 * The attempt has ended; the key and its result, if any, stay in memory for a
		 * while.
		 */
		SETTLED

	}

	private record Waiter(long call, Instant deadline) {

	}

}
