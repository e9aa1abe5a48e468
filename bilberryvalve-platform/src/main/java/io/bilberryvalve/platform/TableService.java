package io.bilberryvalve.platform;

import java.util.List;
import java.util.concurrent.CompletionStage;

/**
 * Transactional table service. Methods do not block, and their stages never complete
 * exceptionally: each failure is a result.
 */
public interface TableService {

	/**
	 * Reads a row.
	 * @param table the table
	 * @param key the key
	 * @return the row
	 */
	CompletionStage<ReadResult<Row>> read(String table, String key);

	/**
	 * Lists rows in the order of their keys.
	 * @param table the table
	 * @param prefix prefix of the keys
	 * @param limit largest number of rows, at least 1
	 * @return the rows; a prefix without rows gives an empty list
	 */
	CompletionStage<ReadResult<List<Row>>> list(String table, String prefix, int limit);

	/**
	 * Runs a transaction: all operations take effect, or none. It is sent at most once to
	 * a service that may have received it; the caller resolves an unknown result.
	 * @param operations the operations, at least one
	 * @return the result
	 */
	CompletionStage<CommitResult> commit(List<RowOperation> operations);

}
