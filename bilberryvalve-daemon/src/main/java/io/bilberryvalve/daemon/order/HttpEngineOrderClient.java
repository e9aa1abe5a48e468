package io.bilberryvalve.daemon.order;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.platform.http.ResponseLimit;
import io.bilberryvalve.platform.http.StatusCheck;
import io.bilberryvalve.policy.lease.FencingNumber;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * Sends orders to engines over HTTP. A timeout closes the connection, so that an order
 * does not reach the engine long after the sender has given up. Safe for use by several
 * threads.
 */
public final class HttpEngineOrderClient implements EngineOrderClient, AutoCloseable {

	private static final ObjectMapper JSON = new ObjectMapper();

	private static final int STATUS_CONFLICT = 409;

	private static final int MIN_FAILURE_STATUS = 300;

	/**
	 * Largest answer of an engine to an order or a query; they are usually below 1 kB.
	 */
	private static final long MAX_ANSWER_BYTES = 1 << 20;

	private final Duration connectTimeout;

	private final Map<Address, HttpClient> clients = new ConcurrentHashMap<>();

	/**
	 * Creates a client without connections.
	 * @param connectTimeout maximum time to establish a connection
	 */
	public HttpEngineOrderClient(Duration connectTimeout) {
		this.connectTimeout = connectTimeout;
	}

	@Override
	public CompletionStage<Reply> orderLoad(Runner runner, FencingNumber fencing, LoadedModel wanted,
			Duration timeout) {
		ObjectNode order = JSON.createObjectNode()
			.put("fencing", fencing.value())
			.put("action", "load")
			.put("model", wanted.model().model().value())
			.put("version", wanted.model().version())
			.put("adapter", wanted.adapter())
			.put("first", wanted.layers().first())
			.put("end", wanted.layers().end());
		HttpClient client = this.clients.computeIfAbsent(runner.address(), this::client);
		HttpRequest request = client.post("/v1/orders");
		request.headers().set("content-type", "application/json");
		request.payloadBody(
				client.executionContext().bufferAllocator().wrap(order.toString().getBytes(StandardCharsets.UTF_8)));
		return client.request(request).timeout(timeout).toCompletionStage().handle(HttpEngineOrderClient::toReply);
	}

	private static Reply toReply(@Nullable HttpResponse response, @Nullable Throwable error) {
		if (response == null) {
			return new Reply.Failed(String.valueOf(error));
		}
		int status = response.status().code();
		if (status == STATUS_CONFLICT) {
			return new Reply.Fenced();
		}
		return (status < MIN_FAILURE_STATUS) ? new Reply.Done()
				: new Reply.Failed("status " + status + ": " + response.payloadBody().toString(StandardCharsets.UTF_8));
	}

	@Override
	public CompletionStage<Optional<LoadedModel>> fetchLoadedModel(Runner runner, Duration timeout) {
		HttpClient client = this.clients.computeIfAbsent(runner.address(), this::client);
		return client.request(client.get("/v1/load"))
			.timeout(timeout)
			.toCompletionStage()
			.handle((response, error) -> (response != null) ? parseLoadedModel(response) : Optional.empty());
	}

	private static Optional<LoadedModel> parseLoadedModel(HttpResponse response) {
		try {
			JsonNode node = JSON.readTree(response.payloadBody().toString(StandardCharsets.UTF_8));
			if (!node.path("model").isTextual() || !node.path("end").isInt()) {
				return Optional.empty();
			}
			ModelVersion model = new ModelVersion(new ModelId(node.path("model").asText()),
					node.path("version").asText());
			LayerRange layers = new LayerRange(node.path("first").asInt(), node.path("end").asInt());
			JsonNode adapter = node.path("adapter");
			return Optional.of(new LoadedModel(model, adapter.isTextual() ? adapter.asText() : null, layers));
		}
		catch (IOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private HttpClient client(Address address) {
		return HttpClients.forResolvedAddress(new InetSocketAddress(address.host(), address.port()))
			.socketOption(ServiceTalkSocketOptions.CONNECT_TIMEOUT, (int) this.connectTimeout.toMillis())
			.appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
			.appendClientFilter(new StatusCheck())
			.appendClientFilter(new ResponseLimit(MAX_ANSWER_BYTES))
			.build();
	}

	@Override
	public void close() {
		this.clients.values().forEach((client) -> client.closeAsync().subscribe());
	}

}
