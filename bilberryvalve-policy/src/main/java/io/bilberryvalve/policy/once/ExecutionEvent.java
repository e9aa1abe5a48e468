package io.bilberryvalve.policy.once;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Input of an {@link ExecutionTracker}.
 */
public sealed interface ExecutionEvent {

	/**
	 * A call arrived.
	 *
	 * @param call number of the call, unique in this process
	 * @param key its idempotency key
	 * @param requestDigest digest of the request
	 * @param deadline when the caller stops waiting
	 */
	record CallReceived(long call, ExecutionKey key, String requestDigest, Instant deadline) implements ExecutionEvent {

	}

	/**
	 * A transaction took effect.
	 *
	 * @param batch the batch
	 * @param versions new version of each row, in the order of the writes
	 */
	record Committed(long batch, List<Long> versions) implements ExecutionEvent {

	}

	/**
	 * A transaction had no effect, because rows had other versions.
	 *
	 * @param batch the batch
	 * @param rows the rows that conflicted
	 */
	record Conflicted(long batch, List<ConflictingRow> rows) implements ExecutionEvent {

	}

	/**
	 * A transaction was refused before any effect.
	 *
	 * @param batch the batch
	 * @param rateLimited whether the rate limit was the cause
	 * @param retryAfter when a repetition can succeed, or {@code null} if unknown
	 */
	record Refused(long batch, boolean rateLimited, @Nullable Duration retryAfter) implements ExecutionEvent {

	}

	/**
	 * A transaction may have taken effect, or may do so later.
	 *
	 * @param batch the batch
	 */
	record CommitUnknown(long batch) implements ExecutionEvent {

	}

	/**
	 * The rows of a batch were read.
	 *
	 * @param batch the batch
	 * @param rows the rows that exist
	 */
	record RowsRead(long batch, Map<ExecutionKey, StoredRecord> rows) implements ExecutionEvent {

	}

	/**
	 * The rows of a batch could not be read.
	 *
	 * @param batch the batch
	 */
	record ReadFailed(long batch) implements ExecutionEvent {

	}

	/**
	 * A dispatched call ended.
	 *
	 * @param call the call
	 * @param end how it ended
	 */
	record DispatchEnded(long call, DispatchResult end) implements ExecutionEvent {

	}

	/**
	 * Time passed.
	 */
	record Tick() implements ExecutionEvent {

	}

	/**
	 * A row found in a conflict.
	 *
	 * @param key the key
	 * @param row the row, or {@code null} if it is absent
	 */
	record ConflictingRow(ExecutionKey key, @Nullable StoredRecord row) {

	}

}
