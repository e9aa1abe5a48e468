package io.bilberryvalve.gateway.feed;

import java.time.Duration;
import java.util.List;

import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.watch.RowMirror;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.platform.watch.TableFeed;
import io.bilberryvalve.wire.proto.RowMessages.RowsReply;
import io.bilberryvalve.wire.proto.RowMessages.RowsRequest;
import io.bilberryvalve.wire.proto.RowMessages.TableRow;

/**
 * Encodes and decodes the messages of {@code rows.proto}.
 */
final class RowMessagesCodec {

	private RowMessagesCodec() {
	}

	static RowsRequest request(String table, StoreVersion after, Duration wait) {
		return RowsRequest.newBuilder()
			.setTable(table)
			.setStoreEra(after.era())
			.setVersion(after.version())
			.setWait(wait.toMillis())
			.build();
	}

	static RowsReply encode(RowMirror.Answer answer) {
		RowsReply.Builder reply = RowsReply.newBuilder()
			.setResult(RowsReply.Result.valueOf(answer.kind().name()))
			.setStoreEra(answer.version().era())
			.setVersion(answer.version().version())
			.setAge(answer.age().toMillis());
		for (TableFeed.Change change : answer.rows()) {
			Row row = change.row();
			reply.addRows(TableRow.newBuilder()
				.setKey(row.key())
				.setVersion(row.version())
				.setValue(row.value())
				.setRemoved(change.removed()));
		}
		return reply.build();
	}

	/**
	 * Returns the version of a reply.
	 * @param reply the reply
	 * @return the version; {@link StoreVersion#NONE} if the numbers are negative
	 */
	static StoreVersion version(RowsReply reply) {
		return (reply.getStoreEra() < 0 || reply.getVersion() < 0) ? StoreVersion.NONE
				: new StoreVersion(reply.getStoreEra(), reply.getVersion());
	}

	static List<TableFeed.Change> changes(String table, RowsReply reply) {
		return reply.getRowsList()
			.stream()
			.map((row) -> new TableFeed.Change(new Row(table, row.getKey(), row.getVersion(), row.getValue()),
					row.getRemoved()))
			.toList();
	}

	static TableFeed.Snapshot snapshot(String table, RowsReply reply) {
		return new TableFeed.Snapshot(changes(table, reply).stream().map(TableFeed.Change::row).toList(),
				version(reply));
	}

}
