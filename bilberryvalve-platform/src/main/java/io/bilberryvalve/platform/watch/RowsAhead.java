package io.bilberryvalve.platform.watch;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.platform.Row;

/**
 * Rows of the last snapshot that are later than the snapshot itself, because it was read
 * in several parts. Older changes of them must be left out until the changes up to them
 * have been read. Not safe for use by several threads.
 */
final class RowsAhead {

	/** Versions of the rows by key. */
	private final Map<String, Long> versions = new HashMap<>();

	/**
	 * Replaces the known rows by those of a snapshot.
	 * @param snapshot the snapshot
	 */
	void replace(TableFeed.Snapshot snapshot) {
		this.versions.clear();
		for (Row row : snapshot.rows()) {
			if (row.version() > snapshot.version().version()) {
				this.versions.put(row.key(), row.version());
			}
		}
	}

	/**
	 * Selects the changes that are not older than the row in the snapshot.
	 * @param changes changes that were read, in order
	 * @param version number of the version up to which changes have been read
	 * @return the changes to apply, in order
	 */
	List<TableFeed.Change> newer(List<TableFeed.Change> changes, long version) {
		List<TableFeed.Change> newer = changes.stream().filter((change) -> {
			Long known = this.versions.get(change.row().key());
			return known == null || change.row().version() >= known;
		}).toList();
		this.versions.values().removeIf((known) -> known <= version);
		return newer;
	}

	/**
	 * Forgets all rows.
	 */
	void clear() {
		this.versions.clear();
	}

}
