package io.bilberryvalve.daemon.http;

import java.util.List;

import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import org.jspecify.annotations.Nullable;

/**
 * A request with what the server knows about it.
 *
 * @param request the request; its payload has not been read
 * @param responses creates responses
 * @param segments decoded path segments
 * @param principal the sender, or {@code null} on routes without credentials
 */
public record Exchange(StreamingHttpRequest request, StreamingHttpResponseFactory responses, List<String> segments,
		@Nullable Principal principal) {

	/**
	 * Returns the sender as a caller.
	 * @return the caller
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
	 * @return the operator
	 * @throws IllegalStateException if the route does not require an operator
	 */
	public Principal.Operator operator() {
		if (this.principal instanceof Principal.Operator operator) {
			return operator;
		}
		throw new IllegalStateException("the route does not require an operator");
	}

}
