package io.bilberryvalve.daemon.http;

import java.util.List;

import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import org.jspecify.annotations.Nullable;

/**
 * A request with its path segments and its authenticated sender.
 *
 * @param request the request; the router has not read its body
 * @param responses creates responses to the request
 * @param segments decoded path segments
 * @param principal the sender; may be {@code null} on public routes, never on others
 */
public record Exchange(StreamingHttpRequest request, StreamingHttpResponseFactory responses, List<String> segments,
		@Nullable Principal principal) {

	/**
	 * Returns the sender as a caller.
	 * @return the caller, with its club and team
	 * @throws IllegalStateException if the route does not require a caller
	 */
	public Principal.Caller caller() {
		if (this.principal instanceof Principal.Caller caller) {
			return caller;
		}
		throw new IllegalStateException("the route does not require a caller");
	}

	/**
	 * Returns the sender as an operator.
	 * @return the operator, with its club
	 * @throws IllegalStateException if the route does not require an operator
	 */
	public Principal.Operator operator() {
		if (this.principal instanceof Principal.Operator operator) {
			return operator;
		}
		throw new IllegalStateException("the route does not require an operator");
	}

}
