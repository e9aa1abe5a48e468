package io.bilberryvalve.daemon.reply;

import java.io.IOException;
import java.util.Iterator;
import java.util.Set;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberryvalve.model.PipelineId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import org.jspecify.annotations.Nullable;

/**
 * Parses and validates the body of a completion request.
 */
final class CompletionParser {

	private static final int HIGHEST_PRIORITY = 10;

	private static final Set<String> FIELDS = Set.of("model", "prompt", "max_tokens", "stream", "priority");

	private static final ObjectMapper JSON = new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

	private CompletionParser() {
	}

	static Result<CompletionRequest> parse(byte[] body) {
		try {
			JsonNode node = JSON.readTree(body);
			checkFields(node);
			return Result.ok(new CompletionRequest(pipeline(node), prompt(node), maxTokens(node), priority(node)));
		}
		catch (JsonProcessingException ex) {
			return badRequest("the body is not valid JSON: " + ex.getOriginalMessage());
		}
		catch (IOException ex) {
			return badRequest("the body cannot be read: " + ex.getMessage());
		}
		catch (IllegalArgumentException ex) {
			return badRequest(String.valueOf(ex.getMessage()));
		}
	}

	private static void checkFields(JsonNode node) {
		if (!node.isObject()) {
			throw new IllegalArgumentException("the body is not a JSON object");
		}
		for (Iterator<String> names = node.fieldNames(); names.hasNext();) {
			String name = names.next();
			if (!FIELDS.contains(name)) {
				throw new IllegalArgumentException("field '" + name + "' is not known");
			}
		}
		JsonNode stream = node.get("stream");
		if (stream != null && !(stream.isBoolean() && stream.asBoolean())) {
			throw new IllegalArgumentException("field 'stream' must be true; replies are always streamed");
		}
	}

	private static PipelineId pipeline(JsonNode node) {
		return new PipelineId(text(node, "model"));
	}

	private static String prompt(JsonNode node) {
		String prompt = text(node, "prompt");
		if (prompt.isEmpty()) {
			throw new IllegalArgumentException("field 'prompt' is empty");
		}
		return prompt;
	}

	private static @Nullable Integer maxTokens(JsonNode node) {
		JsonNode value = node.get("max_tokens");
		if (value == null) {
			return null;
		}
		if (!value.canConvertToInt() || !value.isIntegralNumber() || value.asInt() < 1) {
			throw new IllegalArgumentException("field 'max_tokens' is not a positive whole number");
		}
		return value.asInt();
	}

	private static int priority(JsonNode node) {
		JsonNode value = node.get("priority");
		if (value == null) {
			return 0;
		}
		if (!value.isInt() || Math.abs(value.asLong()) > HIGHEST_PRIORITY) {
			throw new IllegalArgumentException("field 'priority' is not a whole number from -10 to 10");
		}
		return value.asInt();
	}

	private static String text(JsonNode node, String field) {
		JsonNode value = node.get(field);
		if (value == null || !value.isTextual()) {
			throw new IllegalArgumentException("field '" + field + "' is missing or not a string");
		}
		return value.asText();
	}

	private static Result<CompletionRequest> badRequest(String detail) {
		return Result.failed(Problem.notRun(ProblemKind.BAD_REQUEST, detail,
				"send {\"model\": ..., \"prompt\": ..., \"max_tokens\": ..., \"stream\": true, \"priority\": 0}"));
	}

}
