package io.bilberryvalve.platform;

import org.jspecify.annotations.Nullable;

/**
 * One operation of a transaction on a row of a table.
 */
public sealed interface RowOperation {

	/** Version that denotes an absent row. */
	long ABSENT = 0;

	/**
	 * Returns the table of the row.
	 * @return name of the table
	 */
	String table();

	/**
	 * Returns the key of the row.
	 * @return the key, unique within the table
	 */
	String key();

	/**
	 * Returns the version that the row must have for the transaction to take effect.
	 * @return the version, {@link #ABSENT} for an absent row, or {@code null} for any
	 */
	@Nullable Long expectedVersion();

	/**
	 * Writes a row.
	 *
	 * @param table name of the table
	 * @param key key of the row
	 * @param expectedVersion version that the row must have, 0 for absent, {@code null}
	 * for any
	 * @param value the new value
	 */
	record Put(String table, String key, @Nullable Long expectedVersion, String value) implements RowOperation {

	}

	/**
	 * Deletes a row.
	 *
	 * @param table name of the table
	 * @param key key of the row
	 * @param expectedVersion version that the row must have, or {@code null} for any
	 */
	record Delete(String table, String key, @Nullable Long expectedVersion) implements RowOperation {

	}

	/**
	 * Checks the version of a row without changing it.
	 *
	 * @param table name of the table
	 * @param key key of the row
	 * @param expectedVersion version that the row must have, 0 for absent
	 */
	record Check(String table, String key, @Nullable Long expectedVersion) implements RowOperation {

	}

}
