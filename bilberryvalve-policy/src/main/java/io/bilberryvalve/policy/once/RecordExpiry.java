package io.bilberryvalve.policy.once;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Decides which records are deleted. Each transaction that reserves keys also writes one
 * index row whose key starts with the hour, so expired records are found without reading
 * all of them and without a further transaction.
 */
public final class RecordExpiry {

	private static final int HOUR_DIGITS = 8;

	private final Duration lifetime;

	/**
	 * Creates the policy.
	 * @param lifetime age at which a record no longer protects its key
	 */
	public RecordExpiry(Duration lifetime) {
		this.lifetime = lifetime;
	}

	/**
	 * Returns the prefix of the index rows of an hour.
	 * @param time a time in that hour
	 * @return hours since 1970, 8 digits, and a slash
	 */
	public static String hourPrefix(Instant time) {
		String hours = Long.toString(time.getEpochSecond() / Duration.ofHours(1).toSeconds());
		return "0".repeat(Math.max(0, HOUR_DIGITS - hours.length())) + hours + "/";
	}

	/**
	 * Tells whether all records that an index row may list have expired.
	 * @param indexKey key of the index row
	 * @param now the time
	 * @return whether the hour ended at least the lifetime and the clock margin ago
	 */
	public boolean indexRowExpired(String indexKey, Instant now) {
		Instant last = now.minus(this.lifetime).minus(RecordedExecutionTracker.CLOCK_MARGIN).minus(Duration.ofHours(1));
		return indexKey.compareTo(hourPrefix(last)) < 0;
	}

	/**
	 * Returns the records that may be deleted, each with the version that the deletion
	 * must expect. A key that was used again meanwhile has a young record and stays.
	 * @param rows records found
	 * @param now the time
	 * @return the records that have expired
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
	 * A record with its key.
	 *
	 * @param key the key
	 * @param stored the record
	 */
	public record Row(ExecutionKey key, StoredRecord stored) {

	}

}
