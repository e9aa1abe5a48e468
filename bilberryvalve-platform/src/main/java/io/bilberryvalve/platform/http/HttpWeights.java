package io.bilberryvalve.platform.http;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.platform.Fetched;
import io.bilberryvalve.platform.WeightStore;
import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Weight store over HTTP.
 */
public final class HttpWeights implements WeightStore {

	private final HttpService service;

	/**
	 * Creates the client.
	 * @param service connection to the service
	 */
	public HttpWeights(HttpService service) {
		this.service = service;
	}

	@Override
	public CompletionStage<Fetched<Long>> find(ModelVersion model) {
		String path = "/v1/weights/" + model.model() + "/"
				+ URLEncoder.encode(model.version(), StandardCharsets.UTF_8).replace("+", "%20");
		return this.service.send(HttpRequestMethod.GET, path, null)
			.thenApply((answer) -> Reading.parse(answer, (bytes) -> (long) bytes.length));
	}

}
