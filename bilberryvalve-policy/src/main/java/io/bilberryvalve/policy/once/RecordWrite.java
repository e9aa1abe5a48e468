package io.bilberryvalve.policy.once;

/**
 * Conditional write of one record in a transaction.
 *
 * @param key key of the row
 * @param expectVersion version that the row must have, or 0 if it must not exist
 * @param record new content of the row
 */
public record RecordWrite(ExecutionKey key, long expectVersion, ExecutionRecord record) {

}
