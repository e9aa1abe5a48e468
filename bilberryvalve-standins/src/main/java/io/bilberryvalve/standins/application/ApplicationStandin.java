package io.bilberryvalve.standins.application;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.standins.fault.Service;
import io.bilberryvalve.standins.http.Call;
import io.bilberryvalve.standins.http.Handler;
import io.bilberryvalve.standins.http.Route;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for an application runner. It executes each call after a delay, also if the
 * client has gone away, and counts the executions.
 */
public final class ApplicationStandin {

	private static final String KEY_HEADER = "idempotency-key";

	private final boolean deduplicating;

	private final Executor delayed;

	private final ConcurrentMap<CallKey, AtomicLong> executions = new ConcurrentHashMap<>();

	private final ConcurrentMap<CallKey, CompletableFuture<Receipt>> results = new ConcurrentHashMap<>();

	private final AtomicLong received = new AtomicLong();

	private final AtomicLong sequence = new AtomicLong();

	/**
	 * Creates the runner.
	 * @param deduplicating whether it executes each idempotency key only once
	 * @param delayed executes its tasks after the delay of the runner
	 */
	public ApplicationStandin(boolean deduplicating, Executor delayed) {
		this.deduplicating = deduplicating;
		this.delayed = delayed;
	}

	/**
	 * Returns the routes of section 4.4 of the design page.
	 * @return the routes
	 */
	public List<Route> routes() {
		return List.of(
				Route.of(HttpRequestMethod.POST, "/v1/operations/{operation}", Service.OPERATIONS, this::operation),
				Route.of(HttpRequestMethod.GET, "/v1/executions", null,
						Handler.direct((call) -> call.json(executions()))),
				Route.of(HttpRequestMethod.GET, "/admin/calls", null,
						Handler.direct((call) -> call.json(new Calls(this.received.get())))));
	}

	/**
	 * Executes a call.
	 * @param operation the operation
	 * @param key idempotency key, or {@code null} for none
	 * @return the receipt, once the call has been executed
	 */
	CompletableFuture<Receipt> execute(String operation, @Nullable String key) {
		this.received.incrementAndGet();
		CallKey call = new CallKey(operation, key);
		if (key == null || !this.deduplicating) {
			return start(call);
		}
		CompletableFuture<Receipt> first = new CompletableFuture<>();
		CompletableFuture<Receipt> earlier = this.results.putIfAbsent(call, first);
		if (earlier != null) {
			return earlier;
		}
		start(call).thenAccept(first::complete);
		return first;
	}

	/**
	 * Returns the executions so far.
	 * @return the number of executions by operation and key
	 */
	Executions executions() {
		return new Executions(this.executions.entrySet()
			.stream()
			.map((entry) -> new Count(entry.getKey().operation(), entry.getKey().key(), entry.getValue().get()))
			.toList());
	}

	private Single<StreamingHttpResponse> operation(Call call) {
		return call.later(execute(call.parameter(0), call.header(KEY_HEADER)), call::json);
	}

	private CompletableFuture<Receipt> start(CallKey call) {
		return CompletableFuture.supplyAsync(() -> {
			this.executions.computeIfAbsent(call, (key) -> new AtomicLong()).incrementAndGet();
			return new Receipt(call.operation(), call.key(), this.sequence.incrementAndGet());
		}, this.delayed);
	}

	private record CallKey(String operation, @Nullable String key) {

	}

	/**
	 * The answer to a call.
	 *
	 * @param operation the operation
	 * @param key idempotency key, or {@code null} if none was sent
	 * @param receipt number of the execution, different for each execution of the runner
	 */
	public record Receipt(String operation, @Nullable String key, long receipt) {

	}

	/**
	 * The document of {@code GET /v1/executions}.
	 *
	 * @param executions executions by operation and key
	 */
	public record Executions(List<Count> executions) {

	}

	/**
	 * The document of {@code GET /admin/calls}.
	 *
	 * @param received number of calls that have arrived, executed or not
	 */
	public record Calls(long received) {

	}

	/**
	 * Number of executions.
	 *
	 * @param operation the operation
	 * @param key idempotency key, or {@code null} for calls without one
	 * @param count number of executions
	 */
	public record Count(String operation, @Nullable String key, long count) {

	}

}
