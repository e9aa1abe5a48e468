package io.bilberryvalve.standins.engine;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;

import com.fasterxml.jackson.databind.JsonNode;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.standins.http.Json;
import io.bilberryvalve.standins.http.StandinException;
import io.servicetalk.http.api.HttpClient;
import io.servicetalk.http.api.HttpExecutionStrategies;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpResponse;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.netty.HttpClients;
import io.servicetalk.http.netty.RetryingHttpRequesterFilter;

/**
 * Sends requests to other engines and to the weight store.
 */
final class ChainClient {

	private final ConcurrentMap<Address, HttpClient> clients = new ConcurrentHashMap<>();

	/**
	 * Passes a step to a stage.
	 * @param stage the stage
	 * @param stream the stream
	 * @param step the step
	 * @param timeout time after which the stage counts as failed
	 * @return the answer, or a {@link StageException}
	 */
	CompletableFuture<Step.Answer> step(Stage stage, String stream, Step step, Duration timeout) {
		Address address = Address.parse(stage.address());
		HttpClient client = client(address);
		HttpRequest request = client.post("/v1/streams/" + stream + "/steps");
		request.addHeader("content-type", "application/json");
		request.payloadBody(client.executionContext().bufferAllocator().fromUtf8(Json.write(step)));
		return send(client, request, timeout).handle((response, error) -> {
			if (response == null) {
				forget(address, client);
				throw new StageException(stage.runner(), ProblemKind.RUNNER_FAILED,
						"stage " + stage.runner() + " at " + stage.address() + " did not answer: " + error);
			}
			byte[] body = body(response);
			if (response.status().statusClass() != HttpResponseStatus.StatusClass.SUCCESSFUL_2XX) {
				throw failure(stage, response, Json.tree(body));
			}
			return Json.read(body, Step.Answer.class);
		});
	}

	/**
	 * Reads a resource.
	 * @param address address of the server
	 * @param path path of the resource
	 * @param timeout time after which the server counts as failed
	 * @return the body, or a {@link StandinException}
	 */
	CompletableFuture<byte[]> get(Address address, String path, Duration timeout) {
		HttpClient client = client(address);
		return send(client, client.get(path), timeout).handle((response, error) -> {
			if (response == null) {
				forget(address, client);
				throw StandinException.refused(ProblemKind.RUNNER_FAILED, address + " did not answer: " + error,
						"repeat the request later");
			}
			if (response.status().statusClass() != HttpResponseStatus.StatusClass.SUCCESSFUL_2XX) {
				throw StandinException.refused(ProblemKind.RUNNER_FAILED,
						address + path + " answered " + response.status(), "repeat the request later");
			}
			return body(response);
		});
	}

	private HttpClient client(Address address) {
		return this.clients.computeIfAbsent(address,
				(key) -> HttpClients.forResolvedAddress(new InetSocketAddress(key.host(), key.port()))
					.executionStrategy(HttpExecutionStrategies.offloadNone())
					.appendClientFilter(RetryingHttpRequesterFilter.disableAutoRetries())
					.build());
	}

	// A client avoids a host for seconds after failed connections, although an engine
	// that
	// was restarted there may work at once.
	private void forget(Address address, HttpClient client) {
		if (this.clients.remove(address, client)) {
			client.closeAsyncGracefully().subscribe();
		}
	}

	private static CompletableFuture<HttpResponse> send(HttpClient client, HttpRequest request, Duration timeout) {
		return client.request(request).timeout(timeout).toCompletionStage().toCompletableFuture();
	}

	private static byte[] body(HttpResponse response) {
		return response.payloadBody().toString(StandardCharsets.UTF_8).getBytes(StandardCharsets.UTF_8);
	}

	// A stage names the later stage that failed; otherwise it is the stage itself.
	private static StageException failure(Stage stage, HttpResponse response, JsonNode problem) {
		boolean stale = response.status().code() == ProblemKind.CONFLICT.status();
		return new StageException(problem.path("runner").asText(stage.runner()),
				stale ? ProblemKind.CONFLICT : ProblemKind.RUNNER_FAILED,
				problem.path("detail").asText("stage " + stage.runner() + " answered " + response.status()));
	}

	/**
	 * Returns the cause of an error that a future reports.
	 * @param error the error
	 * @return the cause
	 */
	static Throwable cause(Throwable error) {
		return (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
	}

}
