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
 * Sends requests to a platform service with several addresses. A request moves to the
 * next address only if the current one refused the connection, so that no request reaches
 * the service twice. An address that times out is left for the next one, and the timeout
 * closes its silent connection.
 */
public final class HttpService implements AutoCloseable {

	private static final int OK = 200;

	private static final int NOT_FOUND = 404;

	private static final int CONFLICT = 409;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int CLIENT_ERRORS = 400;

	private static final int SERVER_ERRORS = 500;

	private final List<HttpClient> clients;

	private final Duration timeout;

	private final AtomicInteger preferred = new AtomicInteger();

	/**
	 * Creates the client of a service. Connections are opened on first use.
	 * @param addresses addresses of the service, at least one
	 * @param connectTimeout how long opening a connection may take
	 * @param timeout how long a request may take
	 * @throws IllegalArgumentException if there is no address
	 */
	public HttpService(List<Address> addresses, Duration connectTimeout, Duration timeout) {
		if (addresses.isEmpty()) {
			throw new IllegalArgumentException("a platform service needs at least one address");
		}
		this.clients = addresses.stream().map((address) -> client(address, connectTimeout)).toList();
		this.timeout = timeout;
	}

	CompletionStage<Answer> send(HttpRequestMethod method, String path, byte @Nullable [] body) {
		return send(method, path, body, this.preferred.get(), this.clients.size());
	}

	private CompletionStage<Answer> send(HttpRequestMethod method, String path, byte @Nullable [] body, int index,
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
			.<Outcome>handle(HttpService::outcome)
			.thenCompose((outcome) -> {
				if (outcome.leaveAddress()) {
					leave(index);
				}
				if (outcome.notSent() && remaining > 1) {
					return send(method, path, body, (index + 1) % this.clients.size(), remaining - 1);
				}
				return CompletableFuture.completedFuture(outcome.answer());
			});
	}

	private void leave(int index) {
		this.preferred.compareAndSet(index, (index + 1) % this.clients.size());
	}

	private static Outcome outcome(@Nullable HttpResponse response, @Nullable Throwable error) {
		if (response != null) {
			Answer answer = answer(response);
			return new Outcome(answer, false, answer instanceof Answer.Refused);
		}
		Throwable cause = (error instanceof CompletionException) ? error.getCause() : error;
		if (cause instanceof ConnectException || cause instanceof NoAvailableHostException
				|| cause instanceof NoActiveHostException) {
			return new Outcome(new Answer.Refused(failure(StoreFailure.Kind.UNREACHABLE, cause)), true, true);
		}
		StoreFailure.Kind kind = (cause instanceof TimeoutException) ? StoreFailure.Kind.TIMEOUT
				: StoreFailure.Kind.ANSWER_LOST;
		return new Outcome(new Answer.Unknown(failure(kind, cause)), false, true);
	}

	private static Answer answer(HttpResponse response) {
		int status = response.status().code();
		if (status == TOO_MANY_REQUESTS) {
			return new Answer.Refused(refusal(StoreFailure.Kind.RATE_LIMITED, response));
		}
		if (status == SERVICE_UNAVAILABLE) {
			return new Answer.Refused(refusal(StoreFailure.Kind.OUTAGE, response));
		}
		if (status >= SERVER_ERRORS) {
			return new Answer.Unknown(refusal(StoreFailure.Kind.ANSWER_LOST, response));
		}
		byte[] body = new byte[response.payloadBody().readableBytes()];
		response.payloadBody().readBytes(body);
		if (status == NOT_FOUND) {
			return new Answer.Missing();
		}
		if (status == CONFLICT) {
			return new Answer.Conflict(body);
		}
		if (status >= CLIENT_ERRORS) {
			String detail = "status " + status + ": " + new String(body, StandardCharsets.UTF_8);
			return new Answer.Rejected(StoreFailure.of(StoreFailure.Kind.REJECTED, detail));
		}
		return (status >= OK) ? new Answer.Body(body)
				: new Answer.Unknown(refusal(StoreFailure.Kind.ANSWER_LOST, response));
	}

	private static StoreFailure refusal(StoreFailure.Kind kind, HttpResponse response) {
		CharSequence after = response.headers().get("retry-after");
		return new StoreFailure(kind, "status " + response.status().code(), (after != null) ? seconds(after) : null);
	}

	private static @Nullable Duration seconds(CharSequence text) {
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
			.build();
	}

	@Override
	public void close() {
		this.clients.forEach((client) -> client.closeAsync().subscribe());
	}

	/**
	 * Answer of the service.
	 */
	sealed interface Answer {

		/**
		 * A successful answer.
		 *
		 * @param bytes its body
		 */
		record Body(byte[] bytes) implements Answer {

		}

		/**
		 * The resource does not exist.
		 */
		record Missing() implements Answer {

		}

		/**
		 * A conflict.
		 *
		 * @param bytes its body
		 */
		record Conflict(byte[] bytes) implements Answer {

		}

		/**
		 * The request was refused without effect, for a reason that can pass.
		 *
		 * @param failure why
		 */
		record Refused(StoreFailure failure) implements Answer {

		}

		/**
		 * The request is malformed and had no effect.
		 *
		 * @param failure why
		 */
		record Rejected(StoreFailure failure) implements Answer {

		}

		/**
		 * The request may have taken effect.
		 *
		 * @param failure why
		 */
		record Unknown(StoreFailure failure) implements Answer {

		}

	}

	private record Outcome(Answer answer, boolean notSent, boolean leaveAddress) {

	}

}
