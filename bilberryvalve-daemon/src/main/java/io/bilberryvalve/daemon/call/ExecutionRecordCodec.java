package io.bilberryvalve.daemon.call;

import java.io.IOException;
import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Instant;
import java.util.Locale;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.policy.once.ExecutionRecord;

/**
 * Converts execution records to and from JSON, the form in which the table service holds
 * them.
 */
final class ExecutionRecordCodec {

	private static final Logger LOGGER = System.getLogger(ExecutionRecordCodec.class.getName());

	private static final ObjectMapper JSON = new ObjectMapper();

	private ExecutionRecordCodec() {
	}

	static String encode(ExecutionRecord record) {
		ObjectNode node = JSON.createObjectNode()
			.put("digest", record.requestDigest())
			.put("token", record.token())
			.put("state", record.state().name().toLowerCase(Locale.ROOT))
			.put("createdAtMillis", record.createdAt().toEpochMilli());
		if (record.result() != null) {
			node.put("result", record.result());
		}
		return node.toString();
	}

	/**
	 * Parses a record. A record that cannot be parsed is treated as a new reservation by
	 * an unknown request, so that its key is not dispatched again.
	 * @param text the JSON text
	 * @param now creation time of the substitute for a damaged record
	 * @return the record
	 */
	static ExecutionRecord decode(String text, Instant now) {
		try {
			return parse(text);
		}
		catch (IOException | IllegalArgumentException ex) {
			LogEvent.of("execution-record-damaged").with("error", ex).log(LOGGER, Level.ERROR);
			return new ExecutionRecord("", "", ExecutionRecord.State.RESERVED, now, null);
		}
	}

	private static ExecutionRecord parse(String text) throws IOException {
		JsonNode node = JSON.readTree(text);
		JsonNode result = node.get("result");
		return new ExecutionRecord(node.path("digest").asText(), node.path("token").asText(),
				ExecutionRecord.State.valueOf(node.path("state").asText().toUpperCase(Locale.ROOT)),
				Instant.ofEpochMilli(node.path("createdAtMillis").asLong()), (result != null) ? result.asText() : null);
	}

}
