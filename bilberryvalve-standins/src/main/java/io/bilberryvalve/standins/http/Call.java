package io.bilberryvalve.standins.http;

import java.util.List;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;

import io.bilberryvalve.model.ProblemKind;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import org.jspecify.annotations.Nullable;

/**
 * A request that a route handles.
 *
 * @param request the request with its whole body
 * @param parameters decoded path segments that match the parameters of the route, in
 * order
 * @param responses creates responses
 */
public record Call(HttpRequest request, List<String> parameters, StreamingHttpResponseFactory responses) {

	/** Content type of JSON documents. */
	public static final String JSON = "application/json";

	private static final String EVENT_STREAM = "text/event-stream";

	/**
	 * Copies the list.
	 */
	public Call {
		parameters = List.copyOf(parameters);
	}

	/**
	 * Returns a path parameter.
	 * @param index number of the parameter, from 0
	 * @return the decoded value
	 */
	public String parameter(int index) {
		return this.parameters.get(index);
	}

	/**
	 * Returns a query parameter.
	 * @param name its name
	 * @return the value, or {@code null} if it is absent
	 */
	public @Nullable String query(String name) {
		return this.request.queryParameter(name);
	}

	/**
	 * Returns a numeric query parameter.
	 * @param name its name
	 * @param absent value if the parameter is absent
	 * @return the value
	 * @throws StandinException if the value is not a whole number
	 */
	public long number(String name, long absent) {
		String text = query(name);
		if (text == null) {
			return absent;
		}
		try {
			return Long.parseLong(text);
		}
		catch (NumberFormatException ex) {
			throw StandinException.refused(ProblemKind.BAD_REQUEST, name + "=" + text + " is not a whole number",
					"give a whole number");
		}
	}

	/**
	 * Returns a request header.
	 * @param name its name
	 * @return the value, or {@code null} if it is absent
	 */
	public @Nullable String header(String name) {
		CharSequence value = this.request.headers().get(name);
		return (value != null) ? value.toString() : null;
	}

	/**
	 * Returns the body.
	 * @return the bytes
	 */
	public byte[] body() {
		Buffer buffer = this.request.payloadBody();
		byte[] bytes = new byte[buffer.readableBytes()];
		buffer.readBytes(bytes);
		return bytes;
	}

	/**
	 * Reads the body as JSON.
	 * @param type type of the document
	 * @param <T> type of the document
	 * @return the document
	 * @throws StandinException if the body is not a valid document of the type
	 */
	public <T> T body(Class<T> type) {
		return Json.read(body(), type);
	}

	/**
	 * Creates an answer with status 200 and a JSON document.
	 * @param value the document
	 * @return the answer
	 */
	public StreamingHttpResponse json(Object value) {
		return text(HttpResponseStatus.OK, JSON, Json.write(value));
	}

	/**
	 * Creates an answer.
	 * @param status the status
	 * @param contentType content type of the body
	 * @param body the body
	 * @return the answer
	 */
	public StreamingHttpResponse text(HttpResponseStatus status, String contentType, String body) {
		return bytes(status, contentType, BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8(body));
	}

	/**
	 * Creates an answer with status 200.
	 * @param contentType content type of the body
	 * @param body the body
	 * @return the answer
	 */
	public StreamingHttpResponse bytes(String contentType, byte[] body) {
		return bytes(HttpResponseStatus.OK, contentType, BufferAllocators.DEFAULT_ALLOCATOR.wrap(body));
	}

	/**
	 * Creates an answer of server-sent events.
	 * @param events the events in text form
	 * @return the answer
	 */
	public StreamingHttpResponse events(Publisher<String> events) {
		StreamingHttpResponse response = this.responses.ok();
		response.headers().set("content-type", EVENT_STREAM);
		return response.payloadBody(events.map(BufferAllocators.DEFAULT_ALLOCATOR::fromUtf8));
	}

	/**
	 * Creates an answer from a result that becomes available later. If the client goes
	 * away, the work behind the result continues.
	 * @param result the result
	 * @param answer creates the answer
	 * @param <T> type of the result
	 * @return the answer
	 */
	public <T> Single<StreamingHttpResponse> later(CompletionStage<T> result,
			Function<T, StreamingHttpResponse> answer) {
		return Single.fromStage(result.thenApply(answer));
	}

	private StreamingHttpResponse bytes(HttpResponseStatus status, String contentType, Buffer body) {
		StreamingHttpResponse response = this.responses.newResponse(status);
		response.headers().set("content-type", contentType);
		response.headers().set("content-length", Integer.toString(body.readableBytes()));
		return response.payloadBody(Publisher.from(body));
	}

}
