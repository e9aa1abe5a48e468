package io.bilberryvalve.standins.http;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;

/**
 * Conversion between records and JSON.
 */
public final class Json {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private static final String TYPE_PREFIX = "urn:bilberryvalve:problem:";

	private Json() {
	}

	/**
	 * Reads a document. Unknown fields are refused, so that a mismatch with the interface
	 * shows at once.
	 * @param body the JSON in UTF-8
	 * @param type type of the document
	 * @param <T> type of the document
	 * @return the document
	 * @throws StandinException if the body is not a valid document of the type
	 */
	public static <T> T read(byte[] body, Class<T> type) {
		try {
			T value = MAPPER.readValue(body, type);
			if (value == null) {
				throw malformed("the body is null");
			}
			return value;
		}
		catch (JsonProcessingException ex) {
			throw malformed(ex.getOriginalMessage());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Writes a document.
	 * @param value the document
	 * @return the JSON on one line
	 */
	public static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot write " + value.getClass().getSimpleName() + " as JSON", ex);
		}
	}

	/**
	 * Writes a problem document (RFC 9457).
	 * @param problem the problem
	 * @return the JSON on one line
	 */
	public static String write(Problem problem) {
		return document(problem).toString();
	}

	/**
	 * Writes a problem document that names a failed runner.
	 * @param problem the problem
	 * @param runner the runner
	 * @return the JSON on one line
	 */
	public static String write(Problem problem, String runner) {
		return document(problem).put("runner", runner).toString();
	}

	/**
	 * Reads a document without a type.
	 * @param body the JSON in UTF-8
	 * @return the document, empty if the body is not valid
	 */
	public static JsonNode tree(byte[] body) {
		try {
			return MAPPER.readTree(body);
		}
		catch (IOException ex) {
			return MAPPER.createObjectNode();
		}
	}

	private static StandinException malformed(String detail) {
		return StandinException.refused(ProblemKind.BAD_REQUEST, "malformed body: " + detail,
				"send the document that the design page describes");
	}

	private static ObjectNode document(Problem problem) {
		ObjectNode node = MAPPER.createObjectNode();
		node.put("type", TYPE_PREFIX + problem.kind().text());
		node.put("title", problem.kind().text());
		node.put("status", problem.kind().status());
		node.put("outcome", problem.outcome().text());
		node.put("detail", problem.detail());
		node.put("remedy", problem.remedy());
		return node;
	}

}
