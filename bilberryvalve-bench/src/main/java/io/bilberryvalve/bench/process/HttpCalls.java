package io.bilberryvalve.bench.process;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import io.bilberryvalve.model.Address;
import org.jspecify.annotations.Nullable;

/**
 * Requests to the processes of a federation.
 */
final class HttpCalls {

	private static final Duration TIMEOUT = Duration.ofSeconds(15);

	private static final int FIRST_FAILURE_STATUS = 300;

	private final HttpClient http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build();

	/**
	 * Returns the client that sends the requests.
	 * @return the client
	 */
	HttpClient http() {
		return this.http;
	}

	/**
	 * Sends a request that must succeed.
	 * @param method the method
	 * @param address address of the process
	 * @param path path of the resource
	 * @param body the body, or {@code null} for none
	 * @param key bearer credential
	 * @return the body of the answer
	 * @throws IOException if no answer or no success arrives
	 * @throws InterruptedException if the thread is interrupted
	 */
	String success(String method, Address address, String path, @Nullable String body, String key)
			throws IOException, InterruptedException {
		HttpResponse<String> response = answer(method, address, path, body, key);
		if (response.statusCode() >= FIRST_FAILURE_STATUS) {
			throw new IOException(method + " " + path + " answered " + response.statusCode() + ": " + response.body());
		}
		return response.body();
	}

	/**
	 * Sends a request.
	 * @param method the method
	 * @param address address of the process
	 * @param path path of the resource
	 * @param body the body, or {@code null} for none
	 * @param key bearer credential
	 * @return the answer
	 * @throws IOException if no answer arrives
	 * @throws InterruptedException if the thread is interrupted
	 */
	HttpResponse<String> answer(String method, Address address, String path, @Nullable String body, String key)
			throws IOException, InterruptedException {
		HttpRequest.BodyPublisher publisher = (body != null) ? HttpRequest.BodyPublishers.ofString(body)
				: HttpRequest.BodyPublishers.noBody();
		HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
			.timeout(TIMEOUT)
			.header("authorization", "Bearer " + key)
			.method(method, publisher)
			.build();
		return this.http.send(request, HttpResponse.BodyHandlers.ofString());
	}

}
