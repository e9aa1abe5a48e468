package io.bilberryvalve.config;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import org.jspecify.annotations.Nullable;

/**
 * Reads JSON with Java comments into a tree with places. A syntax error ends the reading,
 * so it is the only one reported; duplicate keys are all reported.
 */
final class JsonReader {

	/** Deepest nesting of a document; configuration needs five levels. */
	private static final int MAX_DEPTH = 32;

	private static final JsonFactory FACTORY = JsonFactory.builder()
		.enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
		.streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
		.build();

	private final String source;

	private final List<Finding> findings;

	private JsonReader(String source, List<Finding> findings) {
		this.source = source;
		this.findings = findings;
	}

	/**
	 * Reads a text that holds one object.
	 * @param source name of the text in findings
	 * @param text the text
	 * @param findings receives the errors
	 * @return the object, or {@code null} after an error that prevents a tree
	 */
	static JsonTree.@Nullable Members read(String source, String text, List<Finding> findings) {
		return new JsonReader(source, findings).document(text);
	}

	private JsonTree.@Nullable Members document(String text) {
		try (JsonParser parser = FACTORY.createParser(text)) {
			if (parser.nextToken() == null) {
				report("", new Position(1, 1), "the text is empty", "write a JSON object");
				return null;
			}
			JsonTree tree = value(parser, "");
			if (parser.nextToken() != null) {
				report("", position(parser), "the text continues after the end of the object", "remove the rest");
				return null;
			}
			if (tree instanceof JsonTree.Members members) {
				return members;
			}
			report("", tree.position(), "the text holds " + tree.description(), "write a JSON object");
		}
		catch (JsonProcessingException ex) {
			JsonLocation location = ex.getLocation();
			report("", (location != null) ? position(location) : null, syntax(ex),
					"correct the JSON syntax at this place");
		}
		catch (IOException ex) {
			throw new IllegalStateException("reading from a string failed", ex);
		}
		return null;
	}

	private static String syntax(JsonProcessingException ex) {
		String message = ex.getOriginalMessage();
		return (message != null) ? message.lines().findFirst().orElse("syntax error") : "syntax error";
	}

	private JsonTree value(JsonParser parser, String path) throws IOException {
		Position position = position(parser);
		JsonToken token = parser.currentToken();
		if (token == JsonToken.START_OBJECT) {
			return members(parser, path, position);
		}
		if (token == JsonToken.START_ARRAY) {
			return items(parser, path, position);
		}
		if (token == JsonToken.VALUE_STRING) {
			return new JsonTree.Text(position, parser.getText());
		}
		if (token == JsonToken.VALUE_TRUE || token == JsonToken.VALUE_FALSE) {
			return new JsonTree.Flag(position, token == JsonToken.VALUE_TRUE);
		}
		return (token == JsonToken.VALUE_NULL) ? new JsonTree.Null(position) : number(parser, position);
	}

	private JsonTree number(JsonParser parser, Position position) throws IOException {
		if (parser.currentToken() == JsonToken.VALUE_NUMBER_INT
				&& parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER) {
			return new JsonTree.Whole(position, parser.getLongValue());
		}
		return new JsonTree.Decimal(position, Double.parseDouble(parser.getText()));
	}

	private JsonTree members(JsonParser parser, String path, Position position) throws IOException {
		Map<String, JsonTree.Member> members = new LinkedHashMap<>();
		while (parser.nextToken() != JsonToken.END_OBJECT) {
			String name = parser.currentName();
			Position key = position(parser);
			String child = path.isEmpty() ? name : path + "." + name;
			parser.nextToken();
			JsonTree.Member member = new JsonTree.Member(key, value(parser, child));
			JsonTree.Member earlier = members.putIfAbsent(name, member);
			if (earlier != null) {
				report(child, key, "the key also stands in line " + earlier.position().line(), "remove one of them");
			}
		}
		return new JsonTree.Members(position, members);
	}

	private JsonTree items(JsonParser parser, String path, Position position) throws IOException {
		List<JsonTree> items = new ArrayList<>();
		while (parser.nextToken() != JsonToken.END_ARRAY) {
			items.add(value(parser, path + "[" + items.size() + "]"));
		}
		return new JsonTree.Items(position, items);
	}

	private void report(String path, @Nullable Position position, String message, String remedy) {
		this.findings.add(new Finding(this.source, path, position, message, remedy));
	}

	private static Position position(JsonParser parser) {
		return position(parser.currentTokenLocation());
	}

	private static Position position(JsonLocation location) {
		return new Position(Math.max(1, location.getLineNr()), Math.max(1, location.getColumnNr()));
	}

}
