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
	 * @param era era of the store in which it took effect, 0 if the service states none
	 */
	record Committed(List<Long> versions, long era) implements CommitResult {

		/**
		 * Copies the list.
		 * @param versions version of each row
		 * @param era era of the store
		 */
		public Committed {
			versions = List.copyOf(versions);
		}

		/**
		 * Creates the result of a service that states no era.
		 * @param versions version of each row
		 */
		public Committed(List<Long> versions) {
			this(versions, 0);
		}

	}

	/**
	 * The transaction had no effect, because rows had other versions than expected.
	 *
	 * @param rows the rows with another version than expected
	 * @param era era of the store that responded, 0 if the service states none
	 */
	record Conflict(List<ConflictRow> rows, long era) implements CommitResult {

		/**
		 * Copies the list.
		 * @param rows the rows with another version than expected
		 * @param era era of the store
		 */
		public Conflict {
			rows = List.copyOf(rows);
		}

		/**
		 * Creates the result of a service that states no era.
		 * @param rows the rows with another version than expected
		 */
		public Conflict(List<ConflictRow> rows) {
			this(rows, 0);
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
