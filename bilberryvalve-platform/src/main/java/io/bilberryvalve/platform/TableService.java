package io.bilberryvalve.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Transactional service for tables of versioned rows. Methods do not block, and their
 * stages never complete exceptionally: a failure is a result.
 */
public interface TableService {

	/**
	 * Reads a row.
	 * @param table name of the table
	 * @param key key of the row
	 * @return the row
	 */
	CompletionStage<ReadResult<Row>> read(String table, String key);

	/**
	 * Lists rows in the order of their keys.
	 * @param table name of the table
	 * @param prefix prefix of the keys
	 * @param limit largest number of rows, at least 1
	 * @return the rows; an empty list if no key has the prefix
	 */
	CompletionStage<ReadResult<List<Row>>> list(String table, String prefix, int limit);

	/**
	 * Runs a transaction: all operations take effect, or none. The transaction is not
	 * sent again once the service may have received it. After an unknown result, the
	 * caller must find out from the rows whether it took effect.
	 * @param operations the operations, at least one
	 * @return whether the transaction took effect
	 */
	CompletionStage<CommitResult> commit(List<RowOperation> operations);

}
