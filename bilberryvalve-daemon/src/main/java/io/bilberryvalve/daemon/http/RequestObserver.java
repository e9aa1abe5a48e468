package io.bilberryvalve.daemon.http;

import java.time.Duration;

/**
 * Is told about responses.
 */
@FunctionalInterface
public interface RequestObserver {

	/**
	 * Records that the head of a response is ready.
	 * @param route the route
	 * @param status the HTTP status code
	 * @param elapsed time since the head of the request arrived
	 */
	void onResponse(Route route, int status, Duration elapsed);

}
