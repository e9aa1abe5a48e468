package io.bilberryvalve.platform;

/**
 * A row of a table.
 *
 * @param table the table
 * @param key the key
 * @param version version, at least 1, rising with each write
 * @param value the value
 */
public record Row(String table, String key, long version, String value) {

}
