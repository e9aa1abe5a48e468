package io.bilberryvalve.daemon.http;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.model.Problem;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;

/**
 * Creates problem documents (RFC 9457) and responses that contain them.
 */
public final class Problems {

	/** Content type of problem documents. */
	public static final String CONTENT_TYPE = "application/problem+json";

	private static final String TYPE_PREFIX = "urn:bilberryvalve:problem:";

	private static final long MILLIS_PER_SECOND = 1000;

	private static final ObjectMapper JSON = new ObjectMapper();

	private Problems() {
	}

	/**
	 * Creates the response for a problem. The header {@code Retry-After} is set if the
	 * problem has a retry time, rounded up to whole seconds.
	 * @param responses creates the response
	 * @param problem the problem to report
	 * @return a response with the status of the problem and its document as body
	 */
	public static StreamingHttpResponse response(StreamingHttpResponseFactory responses, Problem problem) {
		int status = problem.kind().status();
		StreamingHttpResponse response = responses.newResponse(HttpResponseStatus.of(status, problem.kind().text()));
		response.headers().set("content-type", CONTENT_TYPE);
		if (problem.retryAfter() != null) {
			long seconds = (problem.retryAfter().toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			response.headers().set("retry-after", Long.toString(Math.max(1, seconds)));
		}
		return response.payloadBody(Publisher.from(buffer(document(problem))));
	}

	/**
	 * Creates the document of a problem.
	 * @param problem the problem to describe
	 * @return the document as JSON on one line
	 */
	public static String document(Problem problem) {
		ObjectNode node = JSON.createObjectNode();
		node.put("type", TYPE_PREFIX + problem.kind().text());
		node.put("title", problem.kind().text());
		node.put("status", problem.kind().status());
		node.put("outcome", problem.outcome().text());
		node.put("detail", problem.detail());
		node.put("remedy", problem.remedy());
		return node.toString();
	}

	private static Buffer buffer(String text) {
		return BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8(text);
	}

}
