package io.bilberryvalve.standins.http;

import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.standins.fault.Service;
import io.servicetalk.http.api.HttpRequestMethod;
import org.jspecify.annotations.Nullable;

/**
 * Connects a method and a path pattern with a handler.
 *
 * @param method the method
 * @param pattern path segments; {@code {name}} matches one segment and {@code {name*}} at
 * the end one or more
 * @param service service that faults are injected into, or {@code null} for test control
 * that faults do not affect
 * @param handler the handler
 */
public record Route(HttpRequestMethod method, List<String> pattern, @Nullable Service service, Handler handler) {

	/**
	 * Creates a route.
	 * @param method the method
	 * @param path for example {@code /v1/tables/{table}/rows/{key*}}
	 * @param service service that faults are injected into, or {@code null} for test
	 * control
	 * @param handler the handler
	 * @return the route
	 */
	public static Route of(HttpRequestMethod method, String path, @Nullable Service service, Handler handler) {
		return new Route(method, List.of(path.substring(1).split("/")), service, handler);
	}

	/**
	 * Matches a path.
	 * @param segments decoded segments of the path
	 * @return the values of the parameters in order, or {@code null} if the path does not
	 * match
	 */
	@Nullable List<String> match(List<String> segments) {
		List<String> parameters = new ArrayList<>();
		int size = this.pattern.size();
		for (int i = 0; i < size; i++) {
			if (i >= segments.size()) {
				return null;
			}
			String expected = this.pattern.get(i);
			if (expected.endsWith("*}")) {
				parameters.add(String.join("/", segments.subList(i, segments.size())));
				return parameters;
			}
			if (expected.startsWith("{")) {
				parameters.add(segments.get(i));
			}
			else if (!expected.equals(segments.get(i))) {
				return null;
			}
		}
		return (segments.size() == size) ? parameters : null;
	}

}
