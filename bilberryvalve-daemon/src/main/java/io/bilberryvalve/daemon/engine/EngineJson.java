package io.bilberryvalve.daemon.engine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.daemon.engine.CacheEvents.CacheEvent;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Stage;
import io.bilberryvalve.policy.choice.LoadReport;
import io.bilberryvalve.policy.outcome.LayerStep;
import io.bilberryvalve.policy.outcome.TokenEvent;
import org.jspecify.annotations.Nullable;

/**
 * Builds and parses the JSON documents exchanged with engines.
 */
final class EngineJson {

	private static final ObjectMapper JSON = new ObjectMapper();

	private EngineJson() {
	}

	static String streamRequest(StreamRequest request) {
		ObjectNode node = JSON.createObjectNode();
		node.put("stream", request.stream().toString());
		node.put("epoch", request.epoch());
		node.put("tenant", request.club().value());
		node.put("model", request.key().model().model().value());
		node.put("version", request.key().model().version());
		node.put("adapter", request.key().adapter());
		node.put("prompt", request.prompt());
		ArrayNode delivered = node.putArray("delivered");
		request.delivered().forEach(delivered::add);
		node.put("from", request.delivered().size());
		node.put("max_tokens", request.maxTokens());
		node.put("priority", request.priority());
		ArrayNode chain = node.putArray("chain");
		for (Stage stage : request.chain().stages()) {
			ObjectNode item = chain.addObject();
			item.put("runner", stage.runner().id().value());
			item.put("address", stage.runner().address().toString());
			item.put("first", stage.layers().first());
			item.put("end", stage.layers().end());
		}
		return node.toString();
	}

	static String pullRequest(Address source, int epoch) {
		return JSON.createObjectNode().put("from", source.toString()).put("epoch", epoch).toString();
	}

	static JsonNode parse(String text) {
		try {
			return JSON.readTree(text);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("not JSON: " + ex.getOriginalMessage(), ex);
		}
	}

	static TokenEvent parseToken(JsonNode node) {
		List<LayerStep> trace = new ArrayList<>();
		for (JsonNode step : required(node, "layers")) {
			LayerRange layers = new LayerRange(required(step, "first").asInt(-1), required(step, "end").asInt(-1));
			trace.add(new LayerStep(new RunnerId(required(step, "runner").asText()), layers));
		}
		return new TokenEvent(required(node, "epoch").asInt(), required(node, "index").asInt(),
				required(node, "text").asText(), trace, node.path("last").asBoolean());
	}

	static @Nullable RunnerId parseRunner(JsonNode node) {
		JsonNode runner = node.path("runner");
		return runner.isTextual() ? new RunnerId(runner.asText()) : null;
	}

	static LoadReport parseLoad(JsonNode node) {
		boolean serving = required(node, "state").asText().equals("serving");
		return new LoadReport(new RunnerId(required(node, "runner").asText()),
				Instant.ofEpochMilli(required(node, "observedAtMillis").asLong()),
				Math.max(0, required(node, "queuedTokens").asLong()), Math.max(0, node.path("running").asInt()),
				Math.max(0, node.path("tokensPerSecond").asDouble()), node.path("kvFreeFraction").asDouble(1),
				serving ? LoadReport.State.SERVING : LoadReport.State.LEAVING);
	}

	static CacheEvents parseCacheEvents(JsonNode node) {
		List<CacheEvent> events = new ArrayList<>();
		for (JsonNode event : required(node, "events")) {
			events.add(new CacheEvent(required(event, "sequence").asLong(),
					required(event, "action").asText().equals("stored"), required(event, "prefix").asText()));
		}
		return new CacheEvents(events, required(node, "next").asLong());
	}

	private static JsonNode required(JsonNode node, String field) {
		JsonNode value = node.get(field);
		if (value == null) {
			throw new IllegalArgumentException("field '" + field + "' is missing");
		}
		return value;
	}

}
