package io.bilberryvalve.standins.engine;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.standins.fault.Faults;
import io.bilberryvalve.standins.fault.Service;
import io.bilberryvalve.standins.http.Call;
import io.bilberryvalve.standins.http.Handler;
import io.bilberryvalve.standins.http.Route;
import io.bilberryvalve.standins.http.StandinException;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpResponse;

/**
 * Stand-in for a model engine.
 */
public final class EngineStandin {

	private static final Logger LOGGER = System.getLogger(EngineStandin.class.getName());

	private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

	private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(50);

	/** A stream that had no step for this long does not count as running. */
	private static final Duration ACTIVE = Duration.ofMillis(500);

	private static final Duration LATE = Duration.ofMillis(500);

	private static final int MAX_EXECUTIONS = 50_000;

	private final Clock clock;

	private Instant lastKeepAlive;

	private final StreamTable streams;

	private final OrderBook orders;

	private final Executions executions = new Executions(MAX_EXECUTIONS);

	private final CacheEvents events;

	private final StageRunner stages;

	private final ReplyRunner replies;

	private final KvTransfer transfer;

	private final LoadMonitor load;

	/**
	 * Creates an engine.
	 * @param settings its settings
	 * @param clock measures delays and retention
	 * @param faults faults in force
	 * @param scheduler runs timers of the engine
	 * @param halt ends the process at once
	 */
	public EngineStandin(EngineSettings settings, Clock clock, Faults faults, ScheduledExecutorService scheduler,
			Runnable halt) {
		this.clock = clock;
		this.lastKeepAlive = clock.instant();
		EngineSettings.Timing timing = settings.timing();
		EngineSettings.Orders rules = settings.orders();
		this.streams = new StreamTable(clock, timing.retention());
		this.events = new CacheEvents(clock, settings.cache().eventLag(), settings.cache().gapEvery());
		PrefixCache prefixes = new PrefixCache(settings.cache().blocks(), this.events);
		ComputeUnit compute = new ComputeUnit(settings.batch().speed(), scheduler);
		OrderBook.Loader loader = OrderBook.Loader.reading(new ChainClient(), rules,
				(task) -> scheduler.schedule(task, rules.loadTime().toMillis(), TimeUnit.MILLISECONDS));
		this.orders = new OrderBook(settings.holding(), rules.checksFencing(), rules.token(), loader);
		this.stages = new StageRunner(settings, faults, this.streams, this.orders, prefixes, compute, this.executions,
				scheduler, halt);
		this.replies = new ReplyRunner(settings, faults, this.streams, this.stages);
		this.transfer = new KvTransfer(timing.kvRate(), this.streams, this.orders, faults, scheduler);
		this.load = new LoadMonitor(settings.runner().value(), clock, timing.loadLag(),
				() -> new LoadMonitor.Sample(compute.queuedTokens() + this.replies.waitingTokens(),
						this.streams.active(ACTIVE), compute.doneTokens(), prefixes.freeFraction(),
						this.orders.state()));
		repeat(scheduler, timing.keepAlive(), this::keepAlive);
		repeat(scheduler, SAMPLE_INTERVAL, this.load::sample);
		repeat(scheduler, SWEEP_INTERVAL, this.streams::sweep);
	}

	/**
	 * Returns the routes of section 4.3 of the design page and, for tests,
	 * {@code GET /admin/executions} and {@code GET /admin/orders}.
	 * @return the routes
	 */
	public List<Route> routes() {
		return List.of(Route.of(HttpRequestMethod.POST, "/v1/streams", Service.STREAMS, Handler.direct(this::start)),
				Route.of(HttpRequestMethod.GET, "/v1/streams/{stream}", Service.STREAMS, Handler.direct(this::resume)),
				Route.of(HttpRequestMethod.DELETE, "/v1/streams/{stream}", Service.STREAMS,
						Handler.direct(this::cancel)),
				Route.of(HttpRequestMethod.POST, "/v1/streams/{stream}/steps", Service.STREAMS, this::step),
				Route.of(HttpRequestMethod.GET, "/v1/kv/{stream}", Service.KV,
						Handler.direct((call) -> call.json(this.transfer.export(call.parameter(0))))),
				Route.of(HttpRequestMethod.POST, "/v1/kv/{stream}/pull", Service.KV, this::pull),
				Route.of(HttpRequestMethod.GET, "/v1/load", Service.LOAD,
						Handler.direct((call) -> call.json(this.load.report()))),
				Route.of(HttpRequestMethod.GET, "/v1/cache-events", Service.CACHE_EVENTS,
						Handler.direct((call) -> call.json(this.events.after(call.number("after", 0))))),
				Route.of(HttpRequestMethod.POST, "/v1/orders", Service.ORDERS, this::order),
				Route.of(HttpRequestMethod.GET, "/admin/executions", null,
						Handler.direct((call) -> call.json(this.executions.report(call.query("stream"))))),
				Route.of(HttpRequestMethod.GET, "/admin/orders", null,
						Handler.direct((call) -> call.json(new OrderList(this.orders.executed())))));
	}

	private StreamingHttpResponse start(Call call) {
		StreamRequest request = call.body(StreamRequest.class);
		ReplyStream reply = this.replies.start(request);
		return call.events(reply.read(request.from()));
	}

	private StreamingHttpResponse resume(Call call) {
		ReplyStream reply = this.streams.find(call.parameter(0)).reply();
		if (reply == null) {
			throw StandinException.refused(ProblemKind.NOT_FOUND,
					"this engine is not the first stage of stream " + call.parameter(0), "ask the first stage");
		}
		String tenant = call.query("tenant");
		if (tenant != null && !tenant.equals(reply.request().tenant())) {
			throw StandinException.refused(ProblemKind.NOT_FOUND,
					"stream " + call.parameter(0) + " is not known to tenant " + tenant, "ask as the owner");
		}
		return call.events(reply.read((int) call.number("from", reply.request().from())));
	}

	private StreamingHttpResponse cancel(Call call) {
		int epoch = (int) call.number("epoch", Integer.MAX_VALUE);
		this.replies.cancel(call.parameter(0), epoch);
		return call.json(new Cancelled(call.parameter(0), epoch));
	}

	private Single<StreamingHttpResponse> step(Call call) {
		return call.later(this.stages.execute(call.parameter(0), call.body(Step.class)), call::json);
	}

	private Single<StreamingHttpResponse> pull(Call call) {
		KvPull pull = call.body(KvPull.class);
		return call.later(this.transfer.pull(call.parameter(0), pull), call::json);
	}

	private Single<StreamingHttpResponse> order(Call call) {
		return call.later(this.orders.execute(call.header("authorization"), call.body(Order.class)), call::json);
	}

	private void keepAlive() {
		reportLateness();
		for (StreamState state : this.streams.all()) {
			ReplyStream reply = state.reply();
			if (reply != null) {
				reply.keepAlive();
			}
		}
	}

	// Keep-alives that are late because the machine is overloaded look like a silent
	// engine.
	private void reportLateness() {
		Instant now = this.clock.instant();
		long millis = Duration.between(this.lastKeepAlive, now).toMillis();
		this.lastKeepAlive = now;
		if (millis > LATE.toMillis()) {
			LogEvent.of("keep-alive-late").with("millis", millis).log(LOGGER, Level.WARNING);
		}
	}

	private static void repeat(ScheduledExecutorService scheduler, Duration interval, Runnable task) {
		// The scheduler drops a periodic task after its first exception.
		scheduler.scheduleAtFixedRate(() -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				LogEvent.of("engine-task-failed").with("cause", ex).log(LOGGER, Level.ERROR);
			}
		}, interval.toMillis(), interval.toMillis(), TimeUnit.MILLISECONDS);
	}

	private record Cancelled(String stream, int epoch) {

	}

	private record OrderList(List<Order> orders) {

	}

}
