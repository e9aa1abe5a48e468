package io.bilberryvalve.standins.http;

import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Answers the requests of a route. It must not block.
 */
@FunctionalInterface
public interface Handler {

	/**
	 * Answers a request.
	 * @param call the request
	 * @return the answer; a {@link StandinException} becomes a problem document
	 */
	Single<StreamingHttpResponse> handle(Call call);

	/**
	 * Creates a handler that has its answer at once.
	 * @param handler the handler
	 * @return the handler
	 */
	static Handler direct(Direct handler) {
		return (call) -> Single.succeeded(handler.handle(call));
	}

	/**
	 * A handler that has its answer at once.
	 */
	@FunctionalInterface
	interface Direct {

		/**
		 * Answers a request.
		 * @param call the request
		 * @return the answer
		 */
		StreamingHttpResponse handle(Call call);

	}

}
