package io.bilberryvalve.platform;

/**
 * A row of a table.
 *
 * @param table name of the table
 * @param key key of the row, unique within the table
 * @param version version, at least 1, higher after each write
 * @param value content of the row
 */
public record Row(String table, String key, long version, String value) {

}
