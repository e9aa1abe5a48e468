package io.bilberryvalve.standins.platform;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonProperty;
import org.jspecify.annotations.Nullable;

/**
 * The document of {@code POST /v1/transactions}.
 *
 * @param operations operations, executed together or not at all
 */
public record Transaction(List<Operation> operations) {

	/**
	 * Copies the list.
	 * @throws IllegalArgumentException if there is no operation
	 */
	public Transaction {
		if (operations == null || operations.isEmpty()) {
			throw new IllegalArgumentException("a transaction needs at least one operation");
		}
		operations = List.copyOf(operations);
	}

	/**
	 * Kinds of operations.
	 */
	public enum Kind {

		/** Writes a row. */
		@JsonProperty("put")
		PUT,

		/** Removes a row. */
		@JsonProperty("delete")
		DELETE,

		/** Compares the version only. */
		@JsonProperty("check")
		CHECK

	}

	/**
	 * An operation on a row.
	 *
	 * @param op kind of the operation
	 * @param table the table
	 * @param key key of the row
	 * @param expectVersion version that the row must have, 0 for an absent row, or
	 * {@code null} for any
	 * @param value new value of a put, or {@code null} for the other kinds
	 */
	public record Operation(Kind op, String table, String key, @Nullable Long expectVersion, @Nullable String value) {

		/**
		 * Checks the operation.
		 * @throws IllegalArgumentException if a field is missing
		 */
		public Operation {
			if (op == null || table == null || key == null) {
				throw new IllegalArgumentException("an operation needs op, table and key");
			}
			if (op == Kind.PUT && value == null) {
				throw new IllegalArgumentException("put of " + table + "/" + key + " needs a value");
			}
		}

	}

	/**
	 * A row that did not have the expected version.
	 *
	 * @param index number of the operation in the transaction, from 0
	 * @param version present version, 0 for an absent row
	 * @param value present value, or {@code null} for an absent row
	 */
	public record Conflict(int index, long version, @Nullable String value) {

	}

	/**
	 * What a transaction led to: versions if it took effect, otherwise conflicts.
	 *
	 * @param versions version of each row afterwards, 0 for an absent row
	 * @param conflicts rows with an unexpected version
	 */
	public record Effect(List<Long> versions, List<Conflict> conflicts) {

		/**
		 * Copies the lists.
		 */
		public Effect {
			versions = List.copyOf(versions);
			conflicts = List.copyOf(conflicts);
		}

	}

}
