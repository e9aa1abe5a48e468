package io.bilberryvalve.platform.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.platform.ObjectStore;
import io.bilberryvalve.platform.PutResult;
import io.bilberryvalve.platform.ReadResult;
import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Client of an object store over HTTP. Safe for use by several threads.
 */
public final class HttpObjectStore implements ObjectStore {

	private final FailoverHttpClient httpClient;

	/**
	 * Creates the client.
	 * @param httpClient client of the service; the caller closes it
	 */
	public HttpObjectStore(FailoverHttpClient httpClient) {
		this.httpClient = httpClient;
	}

	@Override
	public CompletionStage<PutResult> put(String key, byte[] body) {
		return this.httpClient.send(HttpRequestMethod.PUT, path(key), body).thenApply(HttpObjectStore::putResult);
	}

	@Override
	public CompletionStage<ReadResult<byte[]>> get(String key) {
		return this.httpClient.send(HttpRequestMethod.GET, path(key), null)
			.thenApply((response) -> ResponseReader.parse(response, (bytes) -> bytes));
	}

	private static PutResult putResult(FailoverHttpClient.Response response) {
		if (response instanceof FailoverHttpClient.Response.Body) {
			return new PutResult.Done();
		}
		if (response instanceof FailoverHttpClient.Response.Unknown unknown) {
			return new PutResult.Unknown(unknown.failure());
		}
		return new PutResult.Refused(ResponseReader.failure(response));
	}

	private static String path(String key) {
		return "/v1/objects/" + URLEncoder.encode(key, StandardCharsets.UTF_8).replace("+", "%20");
	}

}
