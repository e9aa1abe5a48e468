package io.bilberryvalve.daemon.call;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.platform.http.ResponseLimit;
import io.bilberryvalve.platform.http.StatusCheck;
import io.servicetalk.client.api.NoActiveHostException;
import io.servicetalk.client.api.NoAvailableHostException;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * Sends calls to application runners over HTTP/1.1, each on a connection of its own.
 * Answers carry no identifier, so on a kept connection a repeated or late answer to an
 * earlier call could not be told from that of the next call. Automatic retries of the
 * HTTP client are disabled, because a call must be sent once. Safe for use by several
 * threads.
 */
public final class HttpApplicationClient implements ApplicationClient, AutoCloseable {

	private static final String OCTETS = "application/octet-stream";

	/** Largest result of a call. */
	private static final long MAX_RESULT_BYTES = 16 << 20;

	private final Duration connectTimeout;

	private final Map<Address, HttpClient> clients = new ConcurrentHashMap<>();

	/**
	 * Creates a client without connections.
	 * @param connectTimeout maximum time to establish a connection
	 */
	public HttpApplicationClient(Duration connectTimeout) {
		this.connectTimeout = connectTimeout;
	}

	@Override
	public CompletionStage<Reply> send(ApplicationRunner runner, ApplicationCall call, Duration timeout) {
		HttpClient client = this.clients.computeIfAbsent(runner.address(), this::client);
		String operation = URLEncoder.encode(call.operation().value(), StandardCharsets.UTF_8);
		HttpRequest request = client.post("/v1/operations/" + operation);
		request.headers().set("content-type", call.contentType()).set("connection", "close");
		if (call.key() != null) {
			request.headers().set("idempotency-key", call.key());
		}
		request.payloadBody(client.executionContext().bufferAllocator().wrap(call.body()));
		return client.request(request).timeout(timeout).toCompletionStage().handle(HttpApplicationClient::toReply);
	}

	private static Reply toReply(@Nullable HttpResponse response, @Nullable Throwable error) {
		if (response != null) {
			byte[] body = new byte[response.payloadBody().readableBytes()];
			response.payloadBody().readBytes(body);
			CharSequence type = response.headers().get("content-type", OCTETS);
			return new Reply.Answered(new CallResult(response.status().code(), type.toString(), body));
		}
		Throwable cause = (error instanceof CompletionException) ? error.getCause() : error;
		return isNotSent(cause) ? new Reply.NotSent(String.valueOf(cause)) : new Reply.Lost(String.valueOf(cause));
	}

	// Only a failure to connect proves that no byte of the request was sent; after any
	// other failure the runner may have executed the call.
	private static boolean isNotSent(@Nullable Throwable cause) {
		return cause instanceof ConnectException || cause instanceof NoAvailableHostException
				|| cause instanceof NoActiveHostException;
	}

	private HttpClient client(Address address) {
		return HttpClients.forResolvedAddress(new InetSocketAddress(address.host(), address.port()))
			.socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, (int) this.connectTimeout.toMillis())
			.appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
			.appendClientFilter(new StatusCheck())
			.appendClientFilter(new ResponseLimit(MAX_RESULT_BYTES))
			.build();
	}

	@Override
	public void close() {
		this.clients.values().forEach((client) -> client.closeAsync().subscribe());
	}

}
