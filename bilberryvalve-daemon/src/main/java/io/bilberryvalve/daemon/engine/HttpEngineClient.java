package io.bilberryvalve.daemon.engine;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;
import java.util.function.Function;

import io.bilberryvalve.daemon.engine.EngineFailure.Kind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.platform.http.ResponseLimit;
import io.bilberryvalve.policy.choice.LoadReport;
import io.servicetalk.buffer.api.Buffer;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpResponseStatus.StatusClass;
import io.servicetalk.http.api.ReservedStreamingHttpConnection;
import io.servicetalk.http.api.StreamingHttpClient;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;

/**
 * Engine client over HTTP/1.1. Each stream reserves a connection of its own while it
 * lasts, so that the gate can be called right before the first byte is sent.
 */
public final class HttpEngineClient implements EngineClient, AutoCloseable {

	private static final String CONTENT_TYPE = "content-type";

	private static final String APPLICATION_JSON = "application/json";

	/**
	 * Largest answer that is no stream. Cache events are the longest of them.
	 */
	private static final long MAX_ANSWER_BYTES = 4 << 20;

	private final Map<Address, StreamingHttpClient> clients = new ConcurrentHashMap<>();

	private final Duration connectTimeout;

	private final Duration probeTimeout;

	private final Duration callTimeout;

	/**
	 * Creates a client.
	 * @param connectTimeout time limit for establishing a connection
	 * @param probeTimeout time limit for fetching a load report or cache events; a repair
	 * waits this long for a stage that does not answer
	 * @param callTimeout time limit for the other calls that are not streams
	 */
	public HttpEngineClient(Duration connectTimeout, Duration probeTimeout, Duration callTimeout) {
		this.connectTimeout = connectTimeout;
		this.probeTimeout = probeTimeout;
		this.callTimeout = callTimeout;
	}

	@Override
	public EngineStream openStream(StreamRequest request, BooleanSupplier gate, EngineListener listener) {
		StreamingHttpClient client = client(request.chain().first().runner().address());
		StreamingHttpRequest post = client.post("/v1/streams")
			.setHeader(CONTENT_TYPE, APPLICATION_JSON)
			.payloadBody(Publisher.from(utf8Buffer(client, EngineJson.streamRequest(request))));
		return subscribe(client, post, gate, new HttpEngineStream(request.stream(), listener), listener);
	}

	@Override
	public EngineStream resumeStream(Address address, RequestId stream, int from, ClubId club,
			EngineListener listener) {
		StreamingHttpClient client = client(address);
		StreamingHttpRequest request = client.get("/v1/streams/" + stream)
			.addQueryParameter("from", Integer.toString(from))
			.addQueryParameter("tenant", club.value());
		return subscribe(client, request, () -> true, new HttpEngineStream(stream, listener), listener);
	}

	@Override
	public CompletionStage<Boolean> cancelStream(Address address, RequestId stream, int epoch) {
		return call(address, this.callTimeout,
				(client) -> client.delete("/v1/streams/" + stream).addQueryParameter("epoch", Integer.toString(epoch)),
				(body) -> true)
			.thenApply(HttpEngineClient::succeeded);
	}

	@Override
	public CompletionStage<Boolean> pullKvCache(Address target, RequestId stream, Address source, int epoch) {
		return call(target, this.callTimeout,
				(client) -> client.post("/v1/kv/" + stream + "/pull")
					.setHeader(CONTENT_TYPE, APPLICATION_JSON)
					.payloadBody(Publisher.from(utf8Buffer(client, EngineJson.pullRequest(source, epoch)))),
				(body) -> true)
			.thenApply(HttpEngineClient::succeeded);
	}

	@Override
	public CompletionStage<Result<LoadReport>> fetchLoad(Address address) {
		return call(address, this.probeTimeout, (client) -> client.get("/v1/load"),
				(body) -> EngineJson.parseLoad(EngineJson.parse(body)));
	}

	@Override
	public CompletionStage<Result<CacheEvents>> fetchCacheEvents(Address address, long after) {
		return call(address, this.probeTimeout,
				(client) -> client.get("/v1/cache-events").addQueryParameter("after", Long.toString(after)),
				(body) -> EngineJson.parseCacheEvents(EngineJson.parse(body)));
	}

	@Override
	public void reconnect(Address address) {
		StreamingHttpClient old = this.clients.get(address);
		if (old != null) {
			reconnect(address, old);
		}
	}

	private void reconnect(Address address, StreamingHttpClient old) {
		if (this.clients.remove(address, old)) {
			old.closeAsyncGracefully().subscribe();
		}
	}

	@Override
	public void close() {
		this.clients.values().forEach((client) -> client.closeAsync().subscribe());
		this.clients.clear();
	}

	private EngineStream subscribe(StreamingHttpClient client, StreamingHttpRequest request, BooleanSupplier gate,
			HttpEngineStream stream, EngineListener listener) {
		Publisher<Buffer> events = client.reserveConnection(request)
			.onErrorMap((error) -> new EngineException(Kind.REFUSED, "no connection: " + error))
			.flatMapPublisher((connection) -> exchange(connection, request, gate, listener));
		SourceAdapters.toSource(events).subscribe(stream);
		return stream;
	}

	private static Publisher<Buffer> exchange(ReservedStreamingHttpConnection connection, StreamingHttpRequest request,
			BooleanSupplier gate, EngineListener listener) {
		Publisher<Buffer> events;
		if (gate.getAsBoolean()) {
			events = connection.request(request).flatMapPublisher((response) -> payload(response, listener));
		}
		else {
			events = Publisher.failed(new EngineException(Kind.GATE_CLOSED, "the request was given up"));
		}
		return events.afterFinally(() -> connection.releaseAsync().subscribe());
	}

	private static Publisher<Buffer> payload(StreamingHttpResponse response, EngineListener listener) {
		if (response.status().statusClass() == StatusClass.SUCCESSFUL_2XX) {
			listener.onOpened();
			return response.payloadBody();
		}
		boolean missing = response.status().code() == HttpResponseStatus.NOT_FOUND.code();
		EngineException error = new EngineException(missing ? Kind.UNKNOWN_STREAM : Kind.REJECTED,
				"the engine answered " + response.status());
		return ResponseLimit.limit(response.payloadBody(), MAX_ANSWER_BYTES)
			.ignoreElements()
			.concat(Publisher.failed(error));
	}

	private <T> CompletionStage<Result<T>> call(Address address, Duration timeout,
			Function<StreamingHttpClient, StreamingHttpRequest> request, Function<String, T> reader) {
		StreamingHttpClient client = client(address);
		Single<Result<T>> result = client.request(request.apply(client))
			.flatMap((response) -> response.transformPayloadBody((body) -> ResponseLimit.limit(body, MAX_ANSWER_BYTES))
				.toResponse())
			.map((response) -> parseResponse(address, response, reader));
		return result.timeout(timeout).onErrorReturn((error) -> {
			if (error instanceof TimeoutException) {
				// Other idle connections to the engine may be dead too, and each would
				// cost a timeout.
				reconnect(address, client);
			}
			return Result.failed(failure(address, String.valueOf(error)));
		}).toCompletionStage();
	}

	private static <T> Result<T> parseResponse(Address address, HttpResponse response, Function<String, T> reader) {
		if (response.status().statusClass() != StatusClass.SUCCESSFUL_2XX) {
			return Result.failed(failure(address, "status " + response.status()));
		}
		return Result.ok(reader.apply(response.payloadBody().toString(StandardCharsets.UTF_8)));
	}

	private static Problem failure(Address address, String detail) {
		return Problem.unknown(ProblemKind.RUNNER_FAILED, "engine " + address + ": " + detail,
				"check whether the engine runs");
	}

	private static boolean succeeded(Result<Boolean> result) {
		return result instanceof Result.Ok<Boolean>;
	}

	private static Buffer utf8Buffer(StreamingHttpClient client, String text) {
		return client.executionContext().bufferAllocator().fromUtf8(text);
	}

	private StreamingHttpClient client(Address address) {
		return this.clients.computeIfAbsent(address, this::connect);
	}

	private StreamingHttpClient connect(Address address) {
		return HttpClients.forResolvedAddress(address.host(), address.port())
			.socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, (int) this.connectTimeout.toMillis())
			.executionStrategy(HttpExecutionStrategies.offloadNone())
			.appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
			.buildStreaming();
	}

}
