package io.bilberryvalve.daemon.http;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Answers the requests of a route.
 */
@FunctionalInterface
public interface RouteHandler {

	/**
	 * Answers a request. A failure of the result is reported to the sender as an internal
	 * problem with outcome {@code unknown}; expected errors are problem responses.
	 * @param exchange the request
	 * @return the response
	 */
	Single<StreamingHttpResponse> handle(Exchange exchange);

}
