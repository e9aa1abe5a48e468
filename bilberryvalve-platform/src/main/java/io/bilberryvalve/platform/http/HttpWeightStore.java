package io.bilberryvalve.platform.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.WeightStore;
import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Client of a weight store over HTTP. It downloads the weights to find out their size.
 * Safe for use by several threads.
 */
public final class HttpWeightStore implements WeightStore {

	private final FailoverHttpClient httpClient;

	/**
	 * Creates the client.
	 * @param httpClient client of the service; the caller closes it
	 */
	public HttpWeightStore(FailoverHttpClient httpClient) {
		this.httpClient = httpClient;
	}

	@Override
	public CompletionStage<ReadResult<Long>> findSize(ModelVersion model) {
		String path = "/v1/weights/" + model.model() + "/"
				+ URLEncoder.encode(model.version(), StandardCharsets.UTF_8).replace("+", "%20");
		return this.httpClient.send(HttpRequestMethod.GET, path, null)
			.thenApply((response) -> ResponseReader.parse(response, (bytes) -> (long) bytes.length));
	}

}
