package io.bilberryvalve.daemon.http;

import java.util.List;

import io.servicetalk.http.api.HttpRequestMethod;

/**
 * Connects a method and a path pattern with a handler.
 *
 * @param method the method
 * @param pattern path segments; a segment in braces matches any value
 * @param access who may use the route
 * @param countedForDrain whether the request counts as work that a drain waits for and
 * that a draining entry refuses
 * @param handler the handler
 */
public record Route(HttpRequestMethod method, List<String> pattern, Access access, boolean countedForDrain,
		RouteHandler handler) {

	/**
	 * Creates a route.
	 * @param method the method
	 * @param path for example {@code /v1/applications/{application}/{operation}}
	 * @param access who may use the route
	 * @param counted whether a drain waits for the request
	 * @param handler the handler
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
