package io.bilberryvalve.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * An entry for tests: keeps a configuration with compare-and-set on the base version and
 * submission ids, and loses answers on request.
 */
final class FakeEntry implements AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	/** Requests as method, path, key and last event id. */
	final List<String> requests = new ArrayList<>();

	final Map<String, String> parts = new TreeMap<>();

	/** Answers to paths other than the configuration, by path. */
	final Map<String, String> answers = new HashMap<>();

	/** Whether replies of pipelines stay open after what they send. */
	boolean silent;

	private final Map<String, Long> submissions = new HashMap<>();

	private final HttpServer server;

	long version;

	/** Answers to submissions that are lost before the next one arrives. */
	int lose;

	/** Answers to submissions that are refused after the lost ones. */
	int refuse;

	/** Runs before the next submission is handled. */
	Runnable beforeSubmission = () -> {
	};

	FakeEntry() {
		try {
			this.server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		this.server.createContext("/", this::handle);
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	@Override
	public void close() {
		this.server.stop(0);
	}

	void accept(String part, String document) {
		this.parts.put(part, document);
		this.version++;
	}

	private synchronized void handle(HttpExchange exchange) throws IOException {
		String path = exchange.getRequestURI().getPath();
		String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
		this.requests
			.add(exchange.getRequestMethod() + " " + path + " " + exchange.getRequestHeaders().getFirst("authorization")
					+ " " + exchange.getRequestHeaders().getFirst("last-event-id"));
		if (!path.equals("/v1/configuration")) {
			String answer = this.answers.get(path);
			if (this.silent) {
				exchange.sendResponseHeaders(200, 0);
				exchange.getResponseBody().write(answer.getBytes(StandardCharsets.UTF_8));
				exchange.getResponseBody().flush();
				return;
			}
			respond(exchange, (answer != null) ? 200 : 404, (answer != null) ? answer : problem("not-found"));
		}
		else if (exchange.getRequestMethod().equals("GET")) {
			ObjectNode node = JSON.createObjectNode().put("version", this.version).put("digest", "d" + this.version);
			ObjectNode texts = node.putObject("parts");
			this.parts.forEach(texts::put);
			respond(exchange, 200, node.toString());
		}
		else {
			this.beforeSubmission.run();
			this.beforeSubmission = () -> {
			};
			submit(exchange, JSON.readTree(body));
		}
	}

	private void submit(HttpExchange exchange, JsonNode body) throws IOException {
		if (this.lose == 0 && this.refuse > 0) {
			this.refuse--;
			respond(exchange, 503, problem("store-unavailable"));
			return;
		}
		Long known = this.submissions.get(body.path("submission").asText());
		if (known == null && body.path("baseVersion").asLong() != this.version) {
			respond(exchange, 409, problem("conflict"));
			return;
		}
		if (known == null) {
			accept(body.path("part").asText(), body.path("document").asText());
			known = this.version;
			this.submissions.put(body.path("submission").asText(), known);
		}
		if (this.lose > 0) {
			this.lose--;
			exchange.close();
			return;
		}
		respond(exchange, 200, "{\"version\": " + known + "}");
	}

	private static String problem(String kind) {
		return "{\"type\": \"urn:bilberryvalve:problem:" + kind + "\", \"outcome\": \"not-run\", \"detail\": \"" + kind
				+ " happened\", \"remedy\": \"do something\"}";
	}

	private static void respond(HttpExchange exchange, int status, String body) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

}
