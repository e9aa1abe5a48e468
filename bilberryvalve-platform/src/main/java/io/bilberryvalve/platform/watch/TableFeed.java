package io.bilberryvalve.platform.watch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;

/**
 * Store that returns snapshots of its tables and, by long polling, their changes. Methods
 * do not block, and their stages never complete exceptionally. Versions are those of the
 * store, with the era in which the answer was given.
 */
public interface TableFeed {

	/**
	 * Reads all rows of a table.
	 * @param table name of the table
	 * @return the rows and the version of the store at which they were read
	 */
	CompletionStage<ReadResult<Snapshot>> snapshot(String table);

	/**
	 * Reads the changes of a table after a version of the store, and waits for one if
	 * there are none yet.
	 * @param table name of the table
	 * @param after version of the store up to which the changes are known; only its
	 * number is sent, so that the answer may be from a later era
	 * @param wait longest time to wait for a change
	 * @return the changes; {@link ReadResult.Missing} if the store no longer has the
	 * history since that version
	 */
	CompletionStage<ReadResult<Changes>> changes(String table, StoreVersion after, Duration wait);

	/**
	 * All rows of a table.
	 *
	 * @param rows all rows of the table; those of a table that was read in several parts
	 * may be later than the version
	 * @param version version of the store at which the first rows were read
	 */
	record Snapshot(List<Row> rows, StoreVersion version) {

		/**
		 * Copies the rows.
		 * @param rows the rows
		 * @param version version of the store
		 */
		public Snapshot {
			rows = List.copyOf(rows);
		}

	}

	/**
	 * Changes of a table, in the order in which they took effect.
	 *
	 * @param changes the changes, empty if there were none before the wait ended
	 * @param version version of the store after them
	 */
	record Changes(List<Change> changes, StoreVersion version) {

		/**
		 * Copies the changes.
		 * @param changes the changes
		 * @param version version of the store after them
		 */
		public Changes {
			changes = List.copyOf(changes);
		}

	}

	/**
	 * A write or removal of a row.
	 *
	 * @param row the row; its value is empty if it was removed
	 * @param removed whether the row was removed
	 */
	record Change(Row row, boolean removed) {

	}

}
