package io.bilberryvalve.config;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.json.JsonWriteFeature;
import com.fasterxml.jackson.core.util.MinimalPrettyPrinter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Prints JSON with one line for each entry of a top-level list, so that a line-based diff
 * of two prints shows only the entries that differ. Characters outside ASCII are escaped,
 * so that the digest does not depend on an encoding.
 */
final class CanonicalText {

	private static final ObjectWriter LINE = JsonMapper.builder()
		.configure(JsonWriteFeature.ESCAPE_NON_ASCII.mappedFeature(), true)
		.build()
		.writer(new Spaces());

	private CanonicalText() {
	}

	static String print(ObjectNode object) {
		List<String> members = new ArrayList<>();
		for (Map.Entry<String, JsonNode> member : object.properties()) {
			members.add("  " + line(object.textNode(member.getKey())) + ": " + member(member.getValue()));
		}
		return "{\n" + String.join(",\n", members) + "\n}\n";
	}

	private static String member(JsonNode value) {
		if (!value.isArray() || value.isEmpty()) {
			return line(value);
		}
		List<String> items = new ArrayList<>();
		value.forEach((item) -> items.add("    " + line(item)));
		return "[\n" + String.join(",\n", items) + "\n  ]";
	}

	/**
	 * Prints a value on one line.
	 * @param value the value
	 * @return the line
	 */
	static String line(JsonNode value) {
		try {
			return LINE.writeValueAsString(value);
		}
		catch (IOException ex) {
			throw new IllegalStateException("printing to a string failed", ex);
		}
	}

	/**
	 * Writes one space after each colon and comma.
	 */
	private static final class Spaces extends MinimalPrettyPrinter {

		private static final long serialVersionUID = 1L;

		@Override
		public void writeObjectFieldValueSeparator(JsonGenerator generator) throws IOException {
			generator.writeRaw(": ");
		}

		@Override
		public void writeObjectEntrySeparator(JsonGenerator generator) throws IOException {
			generator.writeRaw(", ");
		}

		@Override
		public void writeArrayValueSeparator(JsonGenerator generator) throws IOException {
			generator.writeRaw(", ");
		}

	}

}
