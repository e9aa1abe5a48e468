package io.bilberryvalve.platform.http;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpClientFilter;
import io.servicetalk.http.api.StreamingHttpClientFilterFactory;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpRequester;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Client filter that fails responses whose status is not from 100 to 599. A server in
 * trouble may send one, and nothing can be concluded from it about the request.
 */
public final class StatusCheck implements StreamingHttpClientFilterFactory {

	private static final int MIN_STATUS = 100;

	private static final int MAX_STATUS = 599;

	@Override
	public StreamingHttpClientFilter create(FilterableStreamingHttpClient client) {
		return new StreamingHttpClientFilter(client) {

			@Override
			protected Single<StreamingHttpResponse> request(StreamingHttpRequester delegate,
					StreamingHttpRequest request) {
				return delegate.request(request).map(StatusCheck::check);
			}

		};
	}

	private static StreamingHttpResponse check(StreamingHttpResponse response) {
		int status = response.status().code();
		if (status < MIN_STATUS || status > MAX_STATUS) {
			throw new IllegalStateException("the status is no number from 100 to 599: " + status);
		}
		return response;
	}

}
