package io.bilberryvalve.platform.http;

import java.io.IOException;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.platform.Commit;
import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.Operation;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.StoreFailure;
import io.bilberryvalve.platform.TableService;
import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Table service over HTTP.
 */
public final class HttpTables implements TableService {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final HttpService service;

	/**
	 * Creates the client.
	 * @param service connection to the service
	 */
	public HttpTables(HttpService service) {
		this.service = service;
	}

	@Override
	public CompletionStage<Fetched<Row>> read(String table, String key) {
		String path = "/v1/tables/" + encode(table) + "/rows/" + encode(key);
		return this.service.send(HttpRequestMethod.GET, path, null)
			.thenApply((answer) -> Reading.parse(answer, (bytes) -> row(table, key, JSON.readTree(bytes))));
	}

	@Override
	public CompletionStage<Fetched<List<Row>>> list(String table, String prefix, int limit) {
		String path = "/v1/tables/" + encode(table) + "/rows?prefix=" + encode(prefix) + "&limit=" + limit;
		return this.service.send(HttpRequestMethod.GET, path, null)
			.thenApply((answer) -> Reading.parse(answer, (bytes) -> rows(table, JSON.readTree(bytes))));
	}

	@Override
	public CompletionStage<Commit> commit(List<Operation> operations) {
		if (operations.isEmpty()) {
			throw new IllegalArgumentException("a transaction needs at least one operation");
		}
		byte[] body = body(operations).toString().getBytes(StandardCharsets.UTF_8);
		return this.service.send(HttpRequestMethod.POST, "/v1/transactions", body)
			.thenApply((answer) -> result(answer, operations.size()));
	}

	private static Commit result(HttpService.Answer answer, int size) {
		if (answer instanceof HttpService.Answer.Refused refused) {
			return new Commit.Refused(refused.failure());
		}
		if (answer instanceof HttpService.Answer.Rejected rejected) {
			return new Commit.Refused(rejected.failure());
		}
		if (answer instanceof HttpService.Answer.Unknown unknown) {
			return new Commit.Unknown(unknown.failure());
		}
		try {
			if (answer instanceof HttpService.Answer.Body body) {
				return committed(JSON.readTree(body.bytes()), size);
			}
			if (answer instanceof HttpService.Answer.Conflict conflict) {
				return conflict(JSON.readTree(conflict.bytes()));
			}
			return new Commit.Refused(StoreFailure.of(StoreFailure.Kind.REJECTED, "status 404"));
		}
		catch (IOException | IllegalArgumentException ex) {
			return new Commit.Unknown(StoreFailure.of(StoreFailure.Kind.ANSWER_LOST, ex.toString()));
		}
	}

	private static Commit committed(JsonNode json, int size) {
		List<Long> versions = new ArrayList<>();
		json.path("versions").forEach((version) -> versions.add(version.asLong()));
		if (versions.size() != size) {
			throw new IllegalArgumentException("expected " + size + " versions, received " + versions.size());
		}
		return new Commit.Committed(versions);
	}

	private static Commit conflict(JsonNode json) {
		List<Commit.ConflictRow> rows = new ArrayList<>();
		for (JsonNode row : json.path("conflicts")) {
			JsonNode value = row.get("value");
			boolean present = value != null && !value.isNull();
			rows.add(new Commit.ConflictRow(row.path("index").asInt(), row.path("version").asLong(),
					present ? value.asText() : null));
		}
		if (rows.isEmpty()) {
			throw new IllegalArgumentException("the conflict names no row");
		}
		return new Commit.Conflict(rows);
	}

	private static ObjectNode body(List<Operation> operations) {
		ObjectNode root = JSON.createObjectNode();
		var array = root.putArray("operations");
		for (Operation operation : operations) {
			ObjectNode node = array.addObject();
			node.put("op", name(operation)).put("table", operation.table()).put("key", operation.key());
			node.put("expectVersion", operation.expectVersion());
			if (operation instanceof Operation.Put put) {
				node.put("value", put.value());
			}
		}
		return root;
	}

	private static String name(Operation operation) {
		if (operation instanceof Operation.Put) {
			return "put";
		}
		return (operation instanceof Operation.Delete) ? "delete" : "check";
	}

	private static List<Row> rows(String table, JsonNode json) {
		List<Row> rows = new ArrayList<>();
		json.path("rows").forEach((row) -> rows.add(row(table, row.path("key").asText(), row)));
		return rows;
	}

	private static Row row(String table, String key, JsonNode json) {
		if (!json.path("version").isIntegralNumber() || !json.path("value").isTextual()) {
			throw new IllegalArgumentException("row " + key + " has no version or value");
		}
		return new Row(table, key, json.path("version").asLong(), json.path("value").asText());
	}

	private static String encode(String text) {
		return URLEncoder.encode(text, StandardCharsets.UTF_8).replace("+", "%20");
	}

}
