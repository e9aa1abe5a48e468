package io.bilberryvalve.daemon.http;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Handles the requests of a route.
 */
@FunctionalInterface
public interface RouteHandler {

	/**
	 * Handles a request. Expected errors are returned as problem responses. If the method
	 * throws or the result fails, the sender receives an internal problem with outcome
	 * {@code unknown}.
	 * @param exchange the request and its sender
	 * @return the response
	 */
	Single<StreamingHttpResponse> handle(Exchange exchange);

}
