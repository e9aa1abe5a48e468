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
import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.StoreFailure;
import io.bilberryvalve.platform.TableService;
import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Client of a table service over HTTP. Safe for use by several threads.
 */
public final class HttpTableService implements TableService {

	private static final ObjectMapper JSON = new ObjectMapper();

	private final FailoverHttpClient httpClient;

	/**
	 * Creates the client.
	 * @param httpClient client of the service; the caller closes it
	 */
	public HttpTableService(FailoverHttpClient httpClient) {
		this.httpClient = httpClient;
	}

	@Override
	public CompletionStage<ReadResult<Row>> read(String table, String key) {
		String path = "/v1/tables/" + encode(table) + "/rows/" + encode(key);
		return this.httpClient.send(HttpRequestMethod.GET, path, null)
			.thenApply((response) -> ResponseReader.parse(response, (bytes) -> row(table, key, JSON.readTree(bytes))));
	}

	@Override
	public CompletionStage<ReadResult<List<Row>>> list(String table, String prefix, int limit) {
		String path = "/v1/tables/" + encode(table) + "/rows?prefix=" + encode(prefix) + "&limit=" + limit;
		return this.httpClient.send(HttpRequestMethod.GET, path, null)
			.thenApply((response) -> ResponseReader.parse(response, (bytes) -> rows(table, JSON.readTree(bytes))));
	}

	@Override
	public CompletionStage<CommitResult> commit(List<RowOperation> operations) {
		if (operations.isEmpty()) {
			throw new IllegalArgumentException("a transaction needs at least one operation");
		}
		byte[] body = body(operations).toString().getBytes(StandardCharsets.UTF_8);
		return this.httpClient.send(HttpRequestMethod.POST, "/v1/transactions", body)
			.thenApply((response) -> commitResult(response, operations.size()));
	}

	private static CommitResult commitResult(FailoverHttpClient.Response response, int size) {
		if (response instanceof FailoverHttpClient.Response.Refused refused) {
			return new CommitResult.Refused(refused.failure());
		}
		if (response instanceof FailoverHttpClient.Response.Rejected rejected) {
			return new CommitResult.Refused(rejected.failure());
		}
		if (response instanceof FailoverHttpClient.Response.Unknown unknown) {
			return new CommitResult.Unknown(unknown.failure());
		}
		try {
			if (response instanceof FailoverHttpClient.Response.Body body) {
				return committed(JSON.readTree(body.bytes()), size);
			}
			if (response instanceof FailoverHttpClient.Response.Conflict conflict) {
				return conflict(JSON.readTree(conflict.bytes()));
			}
			return new CommitResult.Refused(StoreFailure.of(StoreFailure.Kind.REJECTED, "status 404"));
		}
		catch (IOException | IllegalArgumentException ex) {
			return new CommitResult.Unknown(StoreFailure.of(StoreFailure.Kind.ANSWER_LOST, ex.toString()));
		}
	}

	private static CommitResult committed(JsonNode json, int size) {
		List<Long> versions = new ArrayList<>();
		json.path("versions").forEach((version) -> versions.add(version.asLong()));
		if (versions.size() != size) {
			throw new IllegalArgumentException("expected " + size + " versions, received " + versions.size());
		}
		return new CommitResult.Committed(versions);
	}

	private static CommitResult conflict(JsonNode json) {
		List<CommitResult.ConflictRow> rows = new ArrayList<>();
		for (JsonNode row : json.path("conflicts")) {
			JsonNode value = row.get("value");
			boolean present = value != null && !value.isNull();
			rows.add(new CommitResult.ConflictRow(row.path("index").asInt(), row.path("version").asLong(),
					present ? value.asText() : null));
		}
		if (rows.isEmpty()) {
			throw new IllegalArgumentException("the conflict response lists no rows");
		}
		return new CommitResult.Conflict(rows);
	}

	private static ObjectNode body(List<RowOperation> operations) {
		ObjectNode root = JSON.createObjectNode();
		var array = root.putArray("operations");
		for (RowOperation operation : operations) {
			ObjectNode node = array.addObject();
			node.put("op", operationName(operation)).put("table", operation.table()).put("key", operation.key());
			node.put("expectVersion", operation.expectedVersion());
			if (operation instanceof RowOperation.Put put) {
				node.put("value", put.value());
			}
		}
		return root;
	}

	private static String operationName(RowOperation operation) {
		if (operation instanceof RowOperation.Put) {
			return "put";
		}
		return (operation instanceof RowOperation.Delete) ? "delete" : "check";
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
