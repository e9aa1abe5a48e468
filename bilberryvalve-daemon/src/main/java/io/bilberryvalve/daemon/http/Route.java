package io.bilberryvalve.daemon.http;

import java.util.List;

import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Maps a method and a path pattern to a handler.
 *
 * @param method the HTTP method
 * @param pattern path segments; a segment in braces matches any value
 * @param access credentials that the route requires
 * @param countedForDrain whether requests count as work in progress: a drain waits for
 * them, and an entry that is starting or draining rejects new ones
 * @param handler handles the requests
 */
public record Route(HttpRequestMethod method, List<String> pattern, Access access, boolean countedForDrain,
		RouteHandler handler) {

	/**
	 * Creates a route.
	 * @param method the HTTP method
	 * @param path path pattern, for example
	 * {@code /v1/applications/{application}/{operation}}
	 * @param access credentials that the route requires
	 * @param counted whether a drain waits for the requests, and an entry that is
	 * starting or draining rejects new ones
	 * @param handler handles the requests
	 * @return the route
	 */
	public static Route of(HttpRequestMethod method, String path, Access access, boolean counted,
			RouteHandler handler) {
		return new Route(method, List.of(path.substring(1).split("/")), access, counted, handler);
	}

	boolean matches(List<String> segments) {
		if (segments.size() != this.pattern.size()) {
			return false;
		}
		for (int i = 0; i < segments.size(); i++) {
			String expected = this.pattern.get(i);
			if (!expected.startsWith("{") && !expected.equals(segments.get(i))) {
				return false;
			}
		}
		return true;
	}

}
