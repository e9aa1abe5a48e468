package io.bilberryvalve.policy.once;

/**
 * A record as found in the table service.
 *
 * @param version version of the row, at least 1
 * @param record the record
 */
public record StoredRecord(long version, ExecutionRecord record) {

}
