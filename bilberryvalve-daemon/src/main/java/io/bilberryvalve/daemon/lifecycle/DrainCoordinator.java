package io.bilberryvalve.daemon.lifecycle;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.atomic.AtomicBoolean;

import io.bilberryvalve.daemon.http.Access;
import io.bilberryvalve.daemon.http.Exchange;
import io.bilberryvalve.daemon.http.Route;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.model.task.GuardedTask;
import io.bilberryvalve.policy.membership.DrainPlan;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Carries out the graceful shutdown (drain) of this entry. The entry first leaves the
 * callers' entry lists, then refuses new requests, and stops after the last request in
 * progress.
 */
public final class DrainCoordinator implements AutoCloseable {

	private static final Logger LOGGER = System.getLogger(DrainCoordinator.class.getName());

	private static final Duration ADVANCE_INTERVAL = Duration.ofMillis(20);

	private final Lifecycle lifecycle;

	private final Runnable announcement;

	private final DrainPlan plan;

	private final AtomicBoolean started = new AtomicBoolean();

	private final CompletableFuture<Void> stopped = new CompletableFuture<>();

	private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(DrainCoordinator::thread);

	/**
	 * Creates a coordinator.
	 * @param lifecycle serving state of this entry, which the drain advances
	 * @param announcement run once when the shutdown begins; tells the other entries that
	 * this one is leaving
	 * @param listTime time for which callers may use an entry list; the entry accepts
	 * requests at least this long
	 * @param clock clock for the phases of the shutdown
	 */
	public DrainCoordinator(Lifecycle lifecycle, Runnable announcement, Duration listTime, Clock clock) {
		this.lifecycle = lifecycle;
		this.announcement = announcement;
		this.plan = new DrainPlan(clock, listTime);
	}

	/**
	 * Begins the shutdown unless it has begun already.
	 * @return a stage that completes after the last request in progress has ended
	 */
	public CompletionStage<Void> drain() {
		if (begin()) {
			GuardedTask.repeat(this.timer, "advance-drain", this::advance, ADVANCE_INTERVAL);
		}
		return completion();
	}

	/**
	 * Returns a stage for the end of the shutdown, whether or not it has begun.
	 * @return a stage that completes after the last request in progress has ended
	 */
	public CompletionStage<Void> completion() {
		return this.stopped.minimalCompletionStage();
	}

	/**
	 * Returns the route with which an operator begins the shutdown.
	 * @return the route {@code POST /v1/drain}
	 */
	public List<Route> routes() {
		return List.of(Route.of(HttpRequestMethod.POST, "/v1/drain", Access.OPERATOR, false, this::handle));
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
	}

	/**
	 * Begins the shutdown without a timer. Tests use it and call {@link #advance()}
	 * themselves.
	 * @return whether this call began the shutdown; false if an earlier one did
	 */
	boolean begin() {
		if (!this.started.compareAndSet(false, true)) {
			return false;
		}
		apply(this.plan.begin(this.lifecycle.state() == ServingState.READY));
		this.announcement.run();
		return true;
	}

	/**
	 * Advances the shutdown by at most one phase. Called by one thread only.
	 */
	void advance() {
		apply(this.plan.advance(this.lifecycle.activeRequests()));
	}

	private void apply(DrainPlan.Phase phase) {
		ServingState state = switch (phase) {
			case SERVING -> this.lifecycle.state();
			case LEAVING -> ServingState.LEAVING;
			case REFUSING -> ServingState.DRAINING;
			case STOPPED -> ServingState.STOPPED;
		};
		if (this.lifecycle.advanceTo(state)) {
			LogEvent.of("drain-advanced")
				.with("state", state)
				.with("active", this.lifecycle.activeRequests())
				.log(LOGGER, Level.INFO);
		}
		if (phase == DrainPlan.Phase.STOPPED) {
			this.timer.shutdown();
			this.stopped.complete(null);
		}
	}

	private Single<StreamingHttpResponse> handle(Exchange exchange) {
		LogEvent.of("drain-requested")
			.with("operator", exchange.operator().operator())
			.with("club", exchange.operator().club())
			.log(LOGGER, Level.INFO);
		drain();
		String body = "{\"state\": \"" + this.lifecycle.state().name().toLowerCase(Locale.ROOT) + "\"}";
		StreamingHttpResponse response = exchange.responses().newResponse(HttpResponseStatus.ACCEPTED);
		response.headers().set("content-type", "application/json");
		return Single
			.succeeded(response.payloadBody(Publisher.from(BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8(body))));
	}

	private static Thread thread(Runnable task) {
		Thread thread = new Thread(task, "drain");
		thread.setDaemon(true);
		return thread;
	}

}
