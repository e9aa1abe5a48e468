package io.bilberryvalve.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpConnectTimeoutException;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandler;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.model.Address;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to entries. The next entry is tried only while nothing can have been
 * sent, that is, after a refused connection.
 */
final class EntryClient {

	private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

	private final HttpClient http = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(CONNECT_TIMEOUT)
		.build();

	private final List<Address> entries;

	private final @Nullable String key;

	private final Duration timeout;

	private int first;

	EntryClient(List<Address> entries, @Nullable String key, Duration timeout) {
		this.entries = List.copyOf(entries);
		this.key = key;
		this.timeout = timeout;
	}

	List<Address> entries() {
		return this.entries;
	}

	Duration timeout() {
		return this.timeout;
	}

	/**
	 * Starts with the next entry from now on. A caller does this after a lost answer,
	 * since the entry may have failed.
	 */
	void advance() {
		this.first = (this.first + 1) % this.entries.size();
	}

	/**
	 * Returns a client for one of the entries.
	 * @param entry the entry
	 * @return the client
	 */
	EntryClient only(Address entry) {
		return new EntryClient(List.of(entry), this.key, this.timeout);
	}

	Answer get(String path) {
		return send("GET", path, null, Map.of());
	}

	/**
	 * Sends a GET request that has to succeed.
	 * @param path the path
	 * @return the answer
	 * @throws CommandException if there is no answer or it is an error
	 */
	Answer.Received fetch(String path) {
		Answer answer = get(path);
		if (answer instanceof Answer.Lost lost) {
			throw new CommandException(ExitCode.UNREACHABLE, "the answer of " + lost.entry() + " was lost ("
					+ lost.reason() + "); nothing was changed, repeat the command");
		}
		Answer.Received received = received(answer);
		if (!received.succeeded()) {
			throw received.failure();
		}
		return received;
	}

	/**
	 * Returns an answer that was received.
	 * @param answer the answer
	 * @return the answer
	 * @throws CommandException if nothing was sent or the answer was lost
	 */
	static Answer.Received received(Answer answer) {
		if (answer instanceof Answer.Received received) {
			return received;
		}
		if (answer instanceof Answer.Lost lost) {
			throw new CommandException(ExitCode.UNKNOWN, "the answer of " + lost.entry() + " was lost (" + lost.reason()
					+ "); the request may have been run");
		}
		throw new CommandException(ExitCode.UNREACHABLE,
				"no entry could be reached (" + ((Answer.Unreachable) answer).reason()
						+ "); nothing was sent, check the addresses or try other entries");
	}

	/**
	 * Sends a request and reads the whole answer.
	 * @param method method of the request
	 * @param path path and query
	 * @param body body in JSON, or {@code null} for none
	 * @param headers further headers
	 * @return the answer
	 */
	Answer send(String method, String path, @Nullable String body, Map<String, String> headers) {
		Exchange<String> exchange = exchange(method, path, body, headers, BodyHandlers.ofString());
		HttpResponse<String> response = exchange.response();
		return (response != null) ? new Answer.Received(exchange.entry(), response.statusCode(), response.body())
				: exchange.failure();
	}

	/**
	 * Sends a request whose answer is read in pieces.
	 * @param method method of the request
	 * @param path path and query
	 * @param body body in JSON, or {@code null} for none
	 * @param headers further headers
	 * @param handler reads the answer
	 * @param <T> type of the body
	 * @return the response or what prevented it
	 */
	<T> Exchange<T> exchange(String method, String path, @Nullable String body, Map<String, String> headers,
			BodyHandler<T> handler) {
		List<String> refusals = new ArrayList<>();
		for (int i = 0; i < this.entries.size(); i++) {
			Address entry = this.entries.get((this.first + i) % this.entries.size());
			try {
				return new Exchange<>(entry, this.http.send(request(entry, method, path, body, headers), handler),
						new Answer.Unreachable(""));
			}
			catch (ConnectException | HttpConnectTimeoutException ex) {
				refusals.add(entry + " refused the connection");
			}
			catch (IOException ex) {
				return new Exchange<>(entry, null, new Answer.Lost(entry, ex.toString()));
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return new Exchange<>(entry, null, new Answer.Lost(entry, "interrupted"));
			}
		}
		return new Exchange<>(this.entries.get(0), null, new Answer.Unreachable(String.join(", ", refusals)));
	}

	private HttpRequest request(Address entry, String method, String path, @Nullable String body,
			Map<String, String> headers) {
		HttpRequest.Builder builder = HttpRequest.newBuilder(URI.create("http://" + entry + path))
			.timeout(this.timeout)
			.method(method, (body != null) ? BodyPublishers.ofString(body) : BodyPublishers.noBody());
		if (body != null) {
			builder.header("content-type", "application/json");
		}
		if (this.key != null) {
			builder.header("authorization", "Bearer " + this.key);
		}
		headers.forEach(builder::header);
		return builder.build();
	}

	/**
	 * A request and its response.
	 *
	 * @param entry the entry that was asked
	 * @param response the response, or {@code null} if there is none
	 * @param failure why there is no response
	 * @param <T> type of the body
	 */
	record Exchange<T>(Address entry, @Nullable HttpResponse<T> response, Answer failure) {

	}

}
