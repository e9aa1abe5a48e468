package io.bilberryvalve.policy.once;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which execution records have expired and may be deleted. Each transaction that
 * reserves keys also writes one index row whose key starts with the hour, so expired
 * records are found without reading all records and without a further transaction.
 * Immutable.
 */
public final class RecordExpiry {

	private static final int HOUR_DIGITS = 8;

	private final Duration lifetime;

	/**
	 * Creates the policy.
	 * @param lifetime age from which a record no longer prevents another call with its
	 * key
	 */
	public RecordExpiry(Duration lifetime) {
		this.lifetime = lifetime;
	}

	/**
	 * Returns the prefix of the keys of all index rows of an hour.
	 * @param time any time in that hour
	 * @return hours since 1970, 8 digits, and a slash
	 */
	public static String hourPrefix(Instant time) {
		String hours = Long.toString(time.getEpochSecond() / Duration.ofHours(1).toSeconds());
		return "0".repeat(Math.max(0, HOUR_DIGITS - hours.length())) + hours + "/";
	}

	/**
	 * Returns whether all records that an index row may list have expired.
	 * @param indexKey key of the index row, which starts with its hour
	 * @param now current time
	 * @return whether the hour of the row ended at least the lifetime and the clock
	 * margin ago
	 */
	public boolean indexRowExpired(String indexKey, Instant now) {
		Instant last = now.minus(this.lifetime).minus(RecordedExecutionTracker.CLOCK_MARGIN).minus(Duration.ofHours(1));
		return indexKey.compareTo(hourPrefix(last)) < 0;
	}

	/**
	 * Selects the records that may be deleted, each with the version that the deletion
	 * must expect. A key that was used again in the meantime has a newer record, which is
	 * kept.
	 * @param rows records listed by an index row, as read from the table service
	 * @param now current time
	 * @return records that have expired
	 */
	public List<Row> expired(List<Row> rows, Instant now) {
		List<Row> expired = new ArrayList<>();
		Duration age = this.lifetime.plus(RecordedExecutionTracker.CLOCK_MARGIN);
		for (Row row : rows) {
			if (!row.stored().record().createdAt().plus(age).isAfter(now)) {
				expired.add(row);
			}
		}
		return expired;
	}

	/**
	 * A stored record with its key.
	 *
	 * @param key key of the row
	 * @param stored record and version of the row
	 */
	public record Row(ExecutionKey key, StoredRecord stored) {

	}

}
