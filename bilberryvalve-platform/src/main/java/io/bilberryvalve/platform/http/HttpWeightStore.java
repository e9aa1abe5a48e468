package io.bilberryvalve.platform.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.WeightStore;
import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Weight store over HTTP.
 */
public final class HttpWeightStore implements WeightStore {

	private final FailoverHttpClient service;

	/**
	 * Creates the client.
	 * @param service connection to the service
	 */
	public HttpWeightStore(FailoverHttpClient service) {
		this.service = service;
	}

	@Override
	public CompletionStage<ReadResult<Long>> findSize(ModelVersion model) {
		String path = "/v1/weights/" + model.model() + "/"
				+ URLEncoder.encode(model.version(), StandardCharsets.UTF_8).replace("+", "%20");
		return this.service.send(HttpRequestMethod.GET, path, null)
			.thenApply((answer) -> ResponseReader.parse(answer, (bytes) -> (long) bytes.length));
	}

}
