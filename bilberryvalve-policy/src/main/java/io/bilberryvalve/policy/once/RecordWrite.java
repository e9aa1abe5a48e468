package io.bilberryvalve.policy.once;

/**
 * Write of one record in a transaction.
 *
 * @param key the key
 * @param expectVersion version that the row must have, 0 for absent
 * @param record the record
 */
public record RecordWrite(ExecutionKey key, long expectVersion, ExecutionRecord record) {

}
