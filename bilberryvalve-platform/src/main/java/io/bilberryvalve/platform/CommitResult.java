package io.bilberryvalve.platform;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Result of a transaction.
 */
public sealed interface CommitResult {

	/**
	 * The transaction took effect.
	 *
	 * @param versions version of each row after the transaction, in the order of the
	 * operations
	 */
	record Committed(List<Long> versions) implements CommitResult {

		/**
		 * Copies the list.
		 * @param versions version of each row
		 */
		public Committed {
			versions = List.copyOf(versions);
		}

	}

	/**
	 * The transaction had no effect, because rows had other versions than expected.
	 *
	 * @param rows the rows that conflicted
	 */
	record Conflict(List<ConflictRow> rows) implements CommitResult {

		/**
		 * Copies the list.
		 * @param rows the rows that conflicted
		 */
		public Conflict {
			rows = List.copyOf(rows);
		}

	}

	/**
	 * The transaction was refused before any effect and will not take effect later.
	 *
	 * @param failure why
	 */
	record Refused(StoreFailure failure) implements CommitResult {

	}

	/**
	 * The transaction took effect, may take effect later, or never will.
	 *
	 * @param failure why
	 */
	record Unknown(StoreFailure failure) implements CommitResult {

	}

	/**
	 * A row that conflicted.
	 *
	 * @param index index of the operation
	 * @param version version of the row, 0 if it is absent
	 * @param value value of the row, or {@code null} if it is absent
	 */
	record ConflictRow(int index, long version, @Nullable String value) {

	}

}
