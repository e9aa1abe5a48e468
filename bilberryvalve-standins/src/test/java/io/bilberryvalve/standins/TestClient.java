package io.bilberryvalve.standins;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.stream.Stream;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.standins.http.Json;

/**
 * HTTP client of the tests. Each request has a time limit, so that a fault cannot hang a
 * test.
 */
public final class TestClient {

	private static final Duration LIMIT = Duration.ofSeconds(20);

	private final HttpClient client = HttpClient.newHttpClient();

	/**
	 * Sends a request and reads the whole answer.
	 * @param method the method
	 * @param address the server
	 * @param path path and query
	 * @param body body, empty for none
	 * @param headers names and values
	 * @return the answer
	 * @throws IOException if there is no answer
	 */
	public HttpResponse<String> send(String method, Address address, String path, String body, String... headers)
			throws IOException {
		return send(LIMIT, method, address, path, body, headers);
	}

	/**
	 * Sends a request with a time limit.
	 * @param limit the limit
	 * @param method the method
	 * @param address the server
	 * @param path path and query
	 * @param body body, empty for none
	 * @param headers names and values
	 * @return the answer
	 * @throws IOException if there is no answer in time
	 */
	public HttpResponse<String> send(Duration limit, String method, Address address, String path, String body,
			String... headers) throws IOException {
		HttpRequest.Builder request = request(limit, method, address, path, body);
		if (headers.length > 0) {
			request.headers(headers);
		}
		return exchange(request, HttpResponse.BodyHandlers.ofString());
	}

	/**
	 * Posts a document and reads the lines of the answer as they arrive.
	 * @param address the server
	 * @param path path and query
	 * @param body the document
	 * @return the answer
	 * @throws IOException if there is no answer
	 */
	public HttpResponse<Stream<String>> lines(Address address, String path, String body) throws IOException {
		return exchange(request(LIMIT, "POST", address, path, body), HttpResponse.BodyHandlers.ofLines());
	}

	/**
	 * Sends a request and reads the answer as JSON.
	 * @param method the method
	 * @param address the server
	 * @param path path and query
	 * @param body body, empty for none
	 * @return the document
	 * @throws IOException if there is no answer
	 */
	public JsonNode json(String method, Address address, String path, String body) throws IOException {
		return Json.tree(send(method, address, path, body).body().getBytes());
	}

	private static HttpRequest.Builder request(Duration limit, String method, Address address, String path,
			String body) {
		return HttpRequest.newBuilder(URI.create("http://" + address + path))
			.version(HttpClient.Version.HTTP_1_1)
			.timeout(limit)
			.method(method, HttpRequest.BodyPublishers.ofString(body));
	}

	private <T> HttpResponse<T> exchange(HttpRequest.Builder request, HttpResponse.BodyHandler<T> handler)
			throws IOException {
		try {
			return this.client.send(request.build(), handler);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IOException(ex);
		}
	}

}
