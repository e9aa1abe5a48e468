package io.bilberryvalve.platform;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Result of {@link TableService#commit}.
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
	 * @param rows the rows with another version than expected
	 */
	record Conflict(List<ConflictRow> rows) implements CommitResult {

		/**
		 * Copies the list.
		 * @param rows the rows with another version than expected
		 */
		public Conflict {
			rows = List.copyOf(rows);
		}

	}

	/**
	 * The transaction was refused before any effect and will not take effect later.
	 *
	 * @param failure reason for the refusal
	 */
	record Refused(StoreFailure failure) implements CommitResult {

	}

	/**
	 * It is not known whether the transaction took effect, and it may still take effect
	 * later.
	 *
	 * @param failure reason why the result is not known
	 */
	record Unknown(StoreFailure failure) implements CommitResult {

	}

	/**
	 * A row whose version differs from the expected version.
	 *
	 * @param index index of the operation in the transaction
	 * @param version current version of the row, 0 if it is absent
	 * @param value current value of the row, or {@code null} if it is absent
	 */
	record ConflictRow(int index, long version, @Nullable String value) {

	}

}
