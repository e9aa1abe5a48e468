package io.bilberryvalve.platform.http;

import java.util.concurrent.atomic.AtomicLong;

import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.FilterableStreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpClientFilter;
import io.servicetalk.http.api.StreamingHttpClientFilterFactory;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpRequester;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Client filter that fails responses with a body above a limit. Without it, a client that
 * collects whole bodies keeps all bytes of a server that never ends its response.
 */
public final class ResponseLimit implements StreamingHttpClientFilterFactory {

	private final long maxBytes;

	/**
	 * Creates a filter.
	 * @param maxBytes largest body of a response
	 */
	public ResponseLimit(long maxBytes) {
		this.maxBytes = maxBytes;
	}

	@Override
	public StreamingHttpClientFilter create(FilterableStreamingHttpClient client) {
		return new StreamingHttpClientFilter(client) {

			@Override
			protected Single<StreamingHttpResponse> request(StreamingHttpRequester delegate,
					StreamingHttpRequest request) {
				return delegate.request(request)
					.map((response) -> response
						.transformPayloadBody((body) -> limit(body, ResponseLimit.this.maxBytes)));
			}

		};
	}

	/**
	 * Limits a body.
	 * @param body the body
	 * @param maxBytes largest permitted size
	 * @return the body, which fails and is cancelled at the first byte beyond the limit
	 */
	public static Publisher<Buffer> limit(Publisher<Buffer> body, long maxBytes) {
		return Publisher.defer(() -> {
			AtomicLong total = new AtomicLong();
			return body.map((buffer) -> {
				if (total.addAndGet(buffer.readableBytes()) > maxBytes) {
					throw new IllegalStateException("the response exceeds " + maxBytes + " bytes");
				}
				return buffer;
			});
		});
	}

}
