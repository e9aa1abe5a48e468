package io.bilberryvalve.policy.once;

/**
 * A record as read from the table service.
 *
 * @param version version of the row, at least 1
 * @param record content of the row
 */
public record StoredRecord(long version, ExecutionRecord record) {

}
