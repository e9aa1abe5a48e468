package io.bilberryvalve.daemon.http;

import java.time.Duration;

/**
 * Observes the responses of the HTTP server, for example to record metrics.
 */
@FunctionalInterface
public interface RequestObserver {

	/**
	 * Called when the head of a response is ready, before its body has been sent. Not
	 * called for requests that the router rejects.
	 * @param route route that produced the response
	 * @param status the HTTP status code
	 * @param elapsed time between the call of the route's handler and the response head
	 */
	void onResponse(Route route, int status, Duration elapsed);

}
