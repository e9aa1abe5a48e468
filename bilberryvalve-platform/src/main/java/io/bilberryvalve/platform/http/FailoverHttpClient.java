package io.bilberryvalve.platform.http;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.platform.StoreFailure;
import io.servicetalk.client.api.NoActiveHostException;
import io.servicetalk.client.api.NoAvailableHostException;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * Sends requests to a platform service that has several addresses. A request is sent to
 * the next address only if the current one refused the connection, so that no request
 * reaches the service twice. After a timeout, a lost connection or a temporary refusal,
 * later requests start at the next address. A timeout also closes the connection that did
 * not respond, so that no later request waits on it. Safe for use by several threads.
 */
public final class FailoverHttpClient implements AutoCloseable {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int CLIENT_ERRORS = 400;

	private static final int SERVER_ERRORS = 500;

	private final List<HttpClient> clients;

	/** Largest answer; the platform divides longer lists into pages. */
	private static final long MAX_ANSWER_BYTES = 16 << 20;

	private final Duration timeout;

	private final AtomicInteger preferredIndex = new AtomicInteger();

	/**
	 * Creates the client of a service. Connections are opened on first use.
	 * @param addresses addresses of the service, at least one
	 * @param connectTimeout longest time to open a connection
	 * @param timeout longest time for a request, including its response
	 * @throws IllegalArgumentException if there is no address
	 */
	public FailoverHttpClient(List<Address> addresses, Duration connectTimeout, Duration timeout) {
		if (addresses.isEmpty()) {
			throw new IllegalArgumentException("a platform service needs at least one address");
		}
		this.clients = addresses.stream().map((address) -> client(address, connectTimeout)).toList();
		this.timeout = timeout;
	}

	CompletionStage<Response> send(HttpRequestMethod method, String path, byte @Nullable [] body) {
		return send(method, path, body, this.preferredIndex.get(), this.clients.size());
	}

	private CompletionStage<Response> send(HttpRequestMethod method, String path, byte @Nullable [] body, int index,
			int remaining) {
		HttpClient client = this.clients.get(index);
		HttpRequest request = client.newRequest(method, path);
		if (body != null) {
			request.payloadBody(client.executionContext().bufferAllocator().wrap(body));
			request.headers().set("content-type", "application/json");
		}
		return client.request(request)
			.timeout(this.timeout)
			.toCompletionStage()
			.<AttemptResult>handle(FailoverHttpClient::attemptResult)
			.thenCompose((result) -> {
				if (result.failOver()) {
					failOver(index);
				}
				if (result.notSent() && remaining > 1) {
					return send(method, path, body, (index + 1) % this.clients.size(), remaining - 1);
				}
				return CompletableFuture.completedFuture(result.response());
			});
	}

	private void failOver(int index) {
		this.preferredIndex.compareAndSet(index, (index + 1) % this.clients.size());
	}

	private static AttemptResult attemptResult(@Nullable HttpResponse response, @Nullable Throwable error) {
		if (response != null) {
			Response serviceResponse = toResponse(response);
			return new AttemptResult(serviceResponse, false, serviceResponse instanceof Response.Refused);
		}
		Throwable cause = (error instanceof CompletionException) ? error.getCause() : error;
		if (cause instanceof ConnectException || cause instanceof NoAvailableHostException
				|| cause instanceof NoActiveHostException) {
			return new AttemptResult(new Response.Refused(failure(StoreFailure.Kind.UNREACHABLE, cause)), true, true);
		}
		StoreFailure.Kind kind = (cause instanceof TimeoutException) ? StoreFailure.Kind.TIMEOUT
				: StoreFailure.Kind.ANSWER_LOST;
		return new AttemptResult(new Response.Unknown(failure(kind, cause)), false, true);
	}

	private static Response toResponse(HttpResponse response) {
		int status = response.status().code();
		if (status == TOO_MANY_REQUESTS) {
			return new Response.Refused(failureOf(StoreFailure.Kind.RATE_LIMITED, response));
		}
		if (status == SERVICE_UNAVAILABLE) {
			return new Response.Refused(failureOf(StoreFailure.Kind.OUTAGE, response));
		}
		if (status >= SERVER_ERRORS) {
			return new Response.Unknown(failureOf(StoreFailure.Kind.ANSWER_LOST, response));
		}
		byte[] body = new byte[response.payloadBody().readableBytes()];
		response.payloadBody().readBytes(body);
		if (status == NOT_FOUND) {
			return new Response.Missing();
		}
		if (status == CONFLICT) {
			return new Response.Conflict(body);
		}
		if (status >= CLIENT_ERRORS) {
			String detail = "status " + status + ": " + new String(body, StandardCharsets.UTF_8);
			return new Response.Rejected(StoreFailure.of(StoreFailure.Kind.REJECTED, detail));
		}
		return (status >= OK) ? new Response.Body(body)
				: new Response.Unknown(failureOf(StoreFailure.Kind.ANSWER_LOST, response));
	}

	private static StoreFailure failureOf(StoreFailure.Kind kind, HttpResponse response) {
		CharSequence after = response.headers().get("retry-after");
		return new StoreFailure(kind, "status " + response.status().code(),
				(after != null) ? parseSeconds(after) : null);
	}

	private static @Nullable Duration parseSeconds(CharSequence text) {
		try {
			return Duration.ofMillis(Math.round(Double.parseDouble(text.toString().trim()) * 1000));
		}
		catch (NumberFormatException ex) {
			return null;
		}
	}

	private static StoreFailure failure(StoreFailure.Kind kind, @Nullable Throwable cause) {
		return StoreFailure.of(kind, String.valueOf(cause));
	}

	private static HttpClient client(Address address, Duration connectTimeout) {
		return HttpClients.forResolvedAddress(new InetSocketAddress(address.host(), address.port()))
			.socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, (int) connectTimeout.toMillis())
			.appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
			.appendClientFilter(new StatusCheck())
			.appendClientFilter(new ResponseLimit(MAX_ANSWER_BYTES))
			.build();
	}

	@Override
	public void close() {
		this.clients.forEach((client) -> client.closeAsync().subscribe());
	}

	/**
	 * Response of the service, or the reason why there is none, by its effect.
	 */
	sealed interface Response {

		/**
		 * The request succeeded.
		 *
		 * @param bytes body of the response
		 */
		record Body(byte[] bytes) implements Response {

		}

		/**
		 * The resource does not exist.
		 */
		record Missing() implements Response {

		}

		/**
		 * The request conflicts with the state of the service and had no effect.
		 *
		 * @param bytes body of the response
		 */
		record Conflict(byte[] bytes) implements Response {

		}

		/**
		 * The request was refused without effect, for a temporary reason.
		 *
		 * @param failure reason for the refusal
		 */
		record Refused(StoreFailure failure) implements Response {

		}

		/**
		 * The request was rejected as malformed and had no effect.
		 *
		 * @param failure reason for the rejection
		 */
		record Rejected(StoreFailure failure) implements Response {

		}

		/**
		 * The request may have taken effect.
		 *
		 * @param failure reason why the effect is not known
		 */
		record Unknown(StoreFailure failure) implements Response {

		}

	}

	private record AttemptResult(Response response, boolean notSent, boolean failOver) {

	}

}
