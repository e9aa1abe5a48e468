package io.bilberryvalve.policy.once;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Event that an {@link ExecutionTracker} handles.
 */
public sealed interface ExecutionEvent {

	/**
	 * A call arrived.
	 *
	 * @param call number of the call, unique in this process
	 * @param key idempotency key of the call
	 * @param requestDigest digest by which a different request with the same key is
	 * recognised
	 * @param deadline time at which the caller stops waiting
	 */
	record CallReceived(long call, ExecutionKey key, String requestDigest, Instant deadline) implements ExecutionEvent {

	}

	/**
	 * A transaction took effect.
	 *
	 * @param batch number of the batch
	 * @param versions new versions of the rows, in the order of the writes
	 */
	record Committed(long batch, List<Long> versions) implements ExecutionEvent {

	}

	/**
	 * A transaction had no effect, because some rows did not have the expected versions.
	 *
	 * @param batch number of the batch
	 * @param rows the rows that conflicted
	 */
	record Conflicted(long batch, List<ConflictingRow> rows) implements ExecutionEvent {

	}

	/**
	 * A transaction was refused before any effect.
	 *
	 * @param batch number of the batch
	 * @param rateLimited whether the rate limit was the cause
	 * @param retryAfter time after which a repetition can succeed, or {@code null} if
	 * unknown
	 */
	record Refused(long batch, boolean rateLimited, @Nullable Duration retryAfter) implements ExecutionEvent {

	}

	/**
	 * The result of a transaction is unknown: it may have taken effect, or may do so
	 * later.
	 *
	 * @param batch number of the batch
	 */
	record CommitUnknown(long batch) implements ExecutionEvent {

	}

	/**
	 * The rows of a batch were read.
	 *
	 * @param batch number of the batch
	 * @param rows rows that exist, by their keys
	 */
	record RowsRead(long batch, Map<ExecutionKey, StoredRecord> rows) implements ExecutionEvent {

	}

	/**
	 * The rows of a batch could not be read.
	 *
	 * @param batch number of the batch
	 */
	record ReadFailed(long batch) implements ExecutionEvent {

	}

	/**
	 * The dispatch of a call ended.
	 *
	 * @param call number of the call
	 * @param result whether the request was sent and answered
	 */
	record DispatchEnded(long call, DispatchResult result) implements ExecutionEvent {

	}

	/**
	 * Time has passed; timeouts and delayed work may be due.
	 */
	record Tick() implements ExecutionEvent {

	}

	/**
	 * A row whose version conflicted with the expected one.
	 *
	 * @param key key of the row
	 * @param row current content, or {@code null} if the row does not exist
	 */
	record ConflictingRow(ExecutionKey key, @Nullable StoredRecord row) {

	}

}
