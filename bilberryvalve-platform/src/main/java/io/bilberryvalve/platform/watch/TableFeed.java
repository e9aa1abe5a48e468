package io.bilberryvalve.platform.watch;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;

/**
 * Reads whole tables and their changes. Methods do not block, and their stages never
 * complete exceptionally.
 */
public interface TableFeed {

	/**
	 * Reads all rows of a table.
	 * @param table the table
	 * @return the rows and the version of the store that they show
	 */
	CompletionStage<ReadResult<Snapshot>> snapshot(String table);

	/**
	 * Waits for changes.
	 * @param table the table
	 * @param after version of the store that is known
	 * @param wait longest time to wait
	 * @return the changes; {@link ReadResult.Missing} if the store no longer has the
	 * history since that version
	 */
	CompletionStage<ReadResult<Changes>> changes(String table, long after, Duration wait);

	/**
	 * All rows of a table.
	 *
	 * @param rows the rows
	 * @param version version of the store
	 */
	record Snapshot(List<Row> rows, long version) {

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
	 * Changes in their order.
	 *
	 * @param changes the changes, empty if there were none in time
	 * @param version version of the store after them
	 */
	record Changes(List<Change> changes, long version) {

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
	 * A change of a row.
	 *
	 * @param row the row; its value is empty if it was removed
	 * @param removed whether it was removed
	 */
	record Change(Row row, boolean removed) {

	}

}
