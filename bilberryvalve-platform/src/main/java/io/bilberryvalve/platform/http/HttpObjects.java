package io.bilberryvalve.platform.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.ObjectStore;
import io.bilberryvalve.platform.Stored;
import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Object store over HTTP.
 */
public final class HttpObjects implements ObjectStore {

	private final HttpService service;

	/**
	 * Creates the client.
	 * @param service connection to the service
	 */
	public HttpObjects(HttpService service) {
		this.service = service;
	}

	@Override
	public CompletionStage<Stored> put(String key, byte[] body) {
		return this.service.send(HttpRequestMethod.PUT, path(key), body).thenApply(HttpObjects::stored);
	}

	@Override
	public CompletionStage<Fetched<byte[]>> get(String key) {
		return this.service.send(HttpRequestMethod.GET, path(key), null)
			.thenApply((answer) -> Reading.parse(answer, (bytes) -> bytes));
	}

	private static Stored stored(HttpService.Answer answer) {
		if (answer instanceof HttpService.Answer.Body) {
			return new Stored.Done();
		}
		if (answer instanceof HttpService.Answer.Unknown unknown) {
			return new Stored.Unknown(unknown.failure());
		}
		return new Stored.Refused(Reading.failure(answer));
	}

	private static String path(String key) {
		return "/v1/objects/" + URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20");
	}

}
