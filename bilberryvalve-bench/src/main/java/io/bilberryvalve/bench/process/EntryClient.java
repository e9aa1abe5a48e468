package io.bilberryvalve.bench.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.bilberryvalve.model.Address;
import org.jspecify.annotations.Nullable;

/**
 * Calls an entry as a caller does, and notes the times at which tokens arrive.
 */
public final class EntryClient {

	/** Prompt of each request for a reply. */
	public static final String PROMPT = "two boxes of wax cups please";

	private static final Duration TIMEOUT = Duration.ofSeconds(60);

	private static final String DATA = "data:";

	private static final ObjectMapper JSON = new ObjectMapper();

	private final HttpClient http;

	private final Address entry;

	/**
	 * Creates a client.
	 * @param http sends the requests
	 * @param entry address of the entry
	 */
	public EntryClient(HttpClient http, Address entry) {
		this.http = http;
		this.entry = entry;
	}

	/**
	 * Asks for a reply of a club's pipeline and reads it to its end.
	 * @param club the club
	 * @param tokens number of tokens
	 * @param onToken is told about each token when it arrives
	 * @return what arrived
	 */
	public ClientReply complete(String club, int tokens, Consumer<ClientReply> onToken) {
		return stream(club, tokens, null, onToken);
	}

	/**
	 * Continues a reply.
	 * @param club the club
	 * @param tokens number of tokens of the whole reply
	 * @param lastEvent identifier of the last event received
	 * @return what arrived
	 */
	public ClientReply resume(String club, int tokens, String lastEvent) {
		return stream(club, tokens, lastEvent, (reply) -> {
		});
	}

	/**
	 * Calls an operation of the application {@code orders} of the club pavio.
	 * @param operation the operation
	 * @param key idempotency key
	 * @param body the body
	 * @param deadline how long the entry may take
	 * @return status and body
	 * @throws IOException if no answer arrives
	 * @throws InterruptedException if the thread is interrupted
	 */
	public HttpResponse<String> call(String operation, String key, String body, Duration deadline)
			throws IOException, InterruptedException {
		return this.http
			.send(request("/v1/applications/orders/" + operation, "pavio-shop", body).header("idempotency-key", key)
				.header("x-request-timeout", Long.toString(deadline.toMillis()))
				.build(), HttpResponse.BodyHandlers.ofString());
	}

	private ClientReply stream(String club, int tokens, @Nullable String lastEvent, Consumer<ClientReply> onToken) {
		String body = JSON.createObjectNode()
			.put("model", club + "-notes")
			.put("prompt", PROMPT)
			.put("max_tokens", tokens)
			.toString();
		HttpRequest.Builder request = request("/v1/completions", club + "-shop", body);
		if (lastEvent != null) {
			request.header("last-event-id", lastEvent);
		}
		ClientReply reply = new ClientReply(System.nanoTime());
		try {
			HttpResponse<Stream<String>> response = this.http.send(request.build(),
					HttpResponse.BodyHandlers.ofLines());
			try (Stream<String> lines = response.body()) {
				read(response.statusCode(), lines.iterator(), reply, onToken);
			}
		}
		catch (IOException | RuntimeException ex) {
			reply.broken(String.valueOf(ex));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			reply.broken("interrupted");
		}
		return reply;
	}

	private static void read(int status, Iterator<String> lines, ClientReply reply, Consumer<ClientReply> onToken)
			throws IOException {
		while (lines.hasNext()) {
			String line = lines.next();
			if (line.startsWith("id:")) {
				reply.position(line.substring(3).trim());
			}
			else if (status != 200) {
				reply.refused(status, line);
			}
			else if (line.startsWith(DATA)) {
				data(line.substring(DATA.length()).trim(), reply, onToken);
			}
		}
	}

	private static void data(String data, ClientReply reply, Consumer<ClientReply> onToken) throws IOException {
		if (data.equals("[DONE]")) {
			reply.done();
			return;
		}
		JsonNode node = JSON.readTree(data);
		if (node.has("index")) {
			reply.token(System.nanoTime(), node.get("index").asInt(), node.get("text").asText());
			onToken.accept(reply);
		}
		else {
			reply.broken(data);
		}
	}

	private HttpRequest.Builder request(String path, String key, String body) {
		return HttpRequest.newBuilder(URI.create("http://" + this.entry + path))
			.timeout(TIMEOUT)
			.header("authorization", "Bearer " + key)
			.header("content-type", "application/json")
			.POST(HttpRequest.BodyPublishers.ofString(body));
	}

}
