package io.bilberryvalve.standins.demo;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Iterator;
import java.util.function.Consumer;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberryvalve.standins.http.Json;

/**
 * Sends requests as a caller of an entry.
 */
final class Caller {

	private static final Duration LIMIT = Duration.ofSeconds(60);

	private static final int OK = 200;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(Duration.ofSeconds(2))
		.build();

	private final String key;

	Caller(String key) {
		this.key = key;
	}

	/**
	 * Reads a document.
	 * @param address the server, {@code host:port}
	 * @param path the path
	 * @return the document, empty if the status is not 200
	 * @throws IOException if there is no answer
	 * @throws InterruptedException if the thread is interrupted
	 */
	JsonNode get(String address, String path) throws IOException, InterruptedException {
		HttpResponse<byte[]> answer = this.client.send(request(address, path).GET().build(),
				HttpResponse.BodyHandlers.ofByteArray());
		return Json.tree((answer.statusCode() == OK) ? answer.body() : new byte[0]);
	}

	/**
	 * Tells whether a resource can be read.
	 * @param address the server, {@code host:port}
	 * @param path the path
	 * @return whether the status is 200
	 * @throws InterruptedException if the thread is interrupted
	 */
	boolean answers(String address, String path) throws InterruptedException {
		try {
			return this.client.send(request(address, path).GET().build(), HttpResponse.BodyHandlers.discarding())
				.statusCode() == OK;
		}
		catch (IOException ex) {
			return false;
		}
	}

	/**
	 * Requests a reply and reads it to its end.
	 * @param address the entry, {@code host:port}
	 * @param question what is asked
	 * @param tokens receives each token as it arrives
	 * @return how it ended
	 * @throws InterruptedException if the thread is interrupted
	 */
	Ending ask(String address, Question question, Consumer<Token> tokens) throws InterruptedException {
		HttpRequest request = request(address, "/v1/completions")
			.POST(HttpRequest.BodyPublishers.ofString(Json.write(question.body())))
			.build();
		try {
			HttpResponse<Stream<String>> answer = this.client.send(request, HttpResponse.BodyHandlers.ofLines());
			if (answer.statusCode() != OK) {
				return refusal(answer);
			}
			try (Stream<String> lines = answer.body()) {
				return read(lines.iterator(), tokens);
			}
		}
		catch (ConnectException ex) {
			return new Ending(Ending.Kind.NOT_RUN, "connection refused");
		}
		catch (IOException | RuntimeException ex) {
			return new Ending(Ending.Kind.INTERRUPTED, String.valueOf(ex));
		}
	}

	private HttpRequest.Builder request(String address, String path) {
		return HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(LIMIT)
			.header("content-type", "application/json")
			.header("authorization", "Bearer " + this.key);
	}

	private static Ending refusal(HttpResponse<Stream<String>> answer) {
		String body = String.join("", answer.body().toList());
		boolean notRun = body.contains("\"outcome\":\"not-run\"");
		return new Ending(notRun ? Ending.Kind.NOT_RUN : Ending.Kind.INTERRUPTED, body);
	}

	private static Ending read(Iterator<String> lines, Consumer<Token> tokens) {
		String id = "";
		String event = "";
		while (lines.hasNext()) {
			String line = lines.next();
			if (line.startsWith("id:")) {
				id = value(line);
			}
			else if (line.startsWith("event:")) {
				event = value(line);
			}
			else if (line.startsWith("data:")) {
				String data = value(line);
				if (data.equals("[DONE]")) {
					return new Ending(Ending.Kind.COMPLETE, "");
				}
				if (event.equals("problem")) {
					return new Ending(Ending.Kind.INTERRUPTED, data);
				}
				JsonNode token = Json.tree(data.getBytes());
				tokens.accept(new Token(id, token.path("index").asInt(-1), token.path("text").asText()));
			}
		}
		return new Ending(Ending.Kind.INTERRUPTED, "the stream ended without [DONE]");
	}

	private static String value(String line) {
		String value = line.substring(line.indexOf(':') + 1);
		return value.startsWith(" ") ? value.substring(1) : value;
	}

	/**
	 * A received token.
	 *
	 * @param id event id
	 * @param index index of the token
	 * @param text the token
	 */
	record Token(String id, int index, String text) {

	}

	/**
	 * How a request ended.
	 *
	 * @param kind how it ended
	 * @param detail what the entry said, empty if it is complete
	 */
	record Ending(Kind kind, String detail) {

		/** Ways in which a request ends. */
		enum Kind {

			/** The whole reply arrived. */
			COMPLETE,

			/** The entry said that the request was not run. */
			NOT_RUN,

			/** The reply began and broke off, or failed in another way. */
			INTERRUPTED

		}

	}

}
