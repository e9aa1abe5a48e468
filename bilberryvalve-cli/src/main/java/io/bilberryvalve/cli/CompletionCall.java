package io.bilberryvalve.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.model.Address;
import org.jspecify.annotations.Nullable;

/**
 * Reads the reply of a pipeline and resumes it at another entry after a lost or silent
 * connection.
 */
final class CompletionCall {

	private static final int ATTEMPTS = 4;

	private static final String DONE = "[DONE]";

	private static final int OK = 200;

	private static final int FIRST_ERROR = 300;

	private final EntryClient client;

	private final Console console;

	private final boolean json;

	private @Nullable String lastEventId;

	CompletionCall(EntryClient client, Console console, boolean json) {
		this.client = client;
		this.console = console;
		this.json = json;
	}

	/**
	 * Prints a reply.
	 * @param pipeline the pipeline
	 * @param prompt the prompt
	 * @param maxTokens longest reply in tokens
	 * @param headers further headers
	 * @return the exit code of a whole reply
	 * @throws CommandException if the reply is refused, fails or cannot be resumed
	 */
	ExitCode run(String pipeline, String prompt, int maxTokens, Map<String, String> headers) {
		ObjectNode body = JsonNodeFactory.instance.objectNode().put("model", pipeline).put("prompt", prompt);
		body.put("max_tokens", maxTokens).put("stream", true).put("priority", 0);
		for (int i = 0; i < ATTEMPTS; i++) {
			if (attempt(body.toString(), headers)) {
				if (!this.json) {
					this.console.out().println();
				}
				return ExitCode.OK;
			}
			if (this.lastEventId == null) {
				break;
			}
			this.client.advance();
		}
		throw new CommandException(ExitCode.UNKNOWN, "the reply ended early; repeat the command to start a new reply");
	}

	private boolean attempt(String body, Map<String, String> headers) {
		Map<String, String> all = new LinkedHashMap<>(headers);
		all.put("accept", "text/event-stream");
		if (this.lastEventId != null) {
			all.put("last-event-id", this.lastEventId);
		}
		EntryClient.Exchange<InputStream> exchange = this.client.exchange("POST", "/v1/completions", body, all,
				BodyHandlers.ofInputStream());
		HttpResponse<InputStream> response = exchange.response();
		if (response == null) {
			if (this.lastEventId == null) {
				EntryClient.received(exchange.failure());
			}
			return false;
		}
		try (InputStream stream = response.body();
				SilenceLimit silence = new SilenceLimit(stream, this.client.timeout())) {
			if (response.statusCode() >= FIRST_ERROR) {
				String problem = new String(stream.readAllBytes(), StandardCharsets.UTF_8);
				throw new Answer.Received(exchange.entry(), response.statusCode(), problem).failure();
			}
			BufferedReader reader = new BufferedReader(new InputStreamReader(stream, StandardCharsets.UTF_8));
			return read(reader, silence, exchange.entry());
		}
		catch (IOException ex) {
			return false;
		}
	}

	private boolean read(BufferedReader reader, SilenceLimit silence, Address entry) throws IOException {
		String event = "";
		for (String line = reader.readLine(); line != null; line = reader.readLine()) {
			silence.heard();
			if (line.isEmpty()) {
				event = "";
			}
			else if (line.startsWith("event:")) {
				event = value(line);
			}
			else if (line.startsWith("id:")) {
				this.lastEventId = value(line);
			}
			else if (line.startsWith("data:")) {
				if (value(line).equals(DONE)) {
					return true;
				}
				data(event, new Answer.Received(entry, OK, value(line)));
			}
		}
		return false;
	}

	private void data(String event, Answer.Received data) {
		if (event.equals("problem")) {
			throw data.failure();
		}
		if (this.json) {
			this.console.out().println(data.body());
		}
		else {
			this.console.out().print(data.json().path("text").asText());
		}
		this.console.out().flush();
	}

	private static String value(String line) {
		return line.substring(line.indexOf(':') + 1).trim();
	}

}
