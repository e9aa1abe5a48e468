package io.bilberryvalve.daemon.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.policy.rollout.ConfigurationHead;

/**
 * Converts the head of the configuration to and from the JSON text of the row
 * {@code configuration/head} in the table service. The head lists the version, the digest
 * of each part and the recently accepted submissions.
 */
final class HeadRow {

	static final String TABLE = "configuration";

	static final String KEY = "head";

	private static final ObjectMapper JSON = new ObjectMapper();

	private HeadRow() {
	}

	static RowOperation.Put put(long expectVersion, ConfigurationHead head) {
		return new RowOperation.Put(TABLE, KEY, expectVersion, encode(head));
	}

	static String encode(ConfigurationHead head) {
		ObjectNode node = JSON.createObjectNode().put("version", head.version());
		ObjectNode parts = node.putObject("parts");
		head.parts().forEach(parts::put);
		var recent = node.putArray("recent");
		for (ConfigurationHead.AcceptedSubmission accepted : head.recent()) {
			recent.addObject()
				.put("submission", accepted.submission())
				.put("version", accepted.version())
				.put("part", accepted.part())
				.put("digest", accepted.digest());
		}
		return node.toString();
	}

	static ConfigurationHead decode(String text) {
		try {
			return head(JSON.readTree(text));
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("row configuration/head is not valid JSON", ex);
		}
	}

	private static ConfigurationHead head(JsonNode node) {
		Map<String, String> parts = new TreeMap<>();
		node.path("parts").properties().forEach((part) -> parts.put(part.getKey(), part.getValue().asText()));
		List<ConfigurationHead.AcceptedSubmission> recent = new ArrayList<>();
		for (JsonNode accepted : node.path("recent")) {
			recent.add(new ConfigurationHead.AcceptedSubmission(accepted.path("submission").asText(),
					accepted.path("version").asLong(), accepted.path("part").asText(),
					accepted.path("digest").asText()));
		}
		return new ConfigurationHead(node.path("version").asLong(), parts, recent);
	}

}
