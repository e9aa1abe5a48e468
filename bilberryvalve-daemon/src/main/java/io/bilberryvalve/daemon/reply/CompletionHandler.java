package io.bilberryvalve.daemon.reply;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.daemon.http.Access;
import io.bilberryvalve.daemon.http.Bodies;
import io.bilberryvalve.daemon.http.Exchange;
import io.bilberryvalve.daemon.http.Principal;
import io.bilberryvalve.daemon.http.Problems;
import io.bilberryvalve.daemon.http.Route;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.daemon.reply.PipelineIndex.ResolvedPipeline;
import io.bilberryvalve.daemon.report.ServiceLevelRecorder;
import io.bilberryvalve.daemon.share.AdmissionControl.AdmissionRequest;
import io.bilberryvalve.daemon.share.AdmissionControl.Permit;
import io.bilberryvalve.model.EventId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.concurrent.api.SourceAdapters;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.StreamingHttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Answers {@code POST /v1/completions}: checks the request, waits for admission, chooses
 * a chain and streams the tokens. With {@code Last-Event-ID} it continues a reply.
 * <p>
 * {@link #tick()} must be called often, at least every 100 ms; it enforces deadlines and
 * detects silent engines.
 */
public final class CompletionHandler {

	private static final String LAST_EVENT_ID = "last-event-id";

	private static final String REQUEST_TIMEOUT = "x-request-timeout";

	/** Largest body in bytes. */
	private final Bodies bodies;

	private final ServiceLevelRecorder levels;

	private final ReplyServices services;

	private final PipelineIndex index;

	private final ReplyRegistry registry;

	private final ResumeService resumes;

	private final VmId self;

	private final long incarnation;

	private final AtomicLong sequence = new AtomicLong();

	/**
	 * Creates the handler and registers it for resume calls of other entries.
	 * @param services what replies need
	 * @param configuration the configuration in force
	 * @param peers network of entries
	 * @param self this entry
	 * @param incarnation incarnation of this daemon
	 * @param bodies reads request bodies
	 * @param levels receives the service levels of new replies
	 */
	public CompletionHandler(ReplyServices services, ConfigurationSource configuration, PeerNetwork peers, VmId self,
			long incarnation, Bodies bodies, ServiceLevelRecorder levels) {
		this.bodies = bodies;
		this.levels = levels;
		this.services = services;
		this.index = new PipelineIndex(configuration);
		this.registry = new ReplyRegistry(services.clock(), services.settings());
		this.resumes = new ResumeService(services, this.registry, peers, this.index, self);
		this.self = self;
		this.incarnation = incarnation;
	}

	/**
	 * Returns the routes of this handler.
	 * @return the routes
	 */
	public List<Route> routes() {
		return List.of(Route.of(HttpRequestMethod.POST, "/v1/completions", Access.CALLER, true, this::handle));
	}

	/**
	 * Enforces the time limits of all replies.
	 */
	public void tick() {
		this.registry.tick();
	}

	/**
	 * Returns the number of replies in progress.
	 * @return the number
	 */
	public int active() {
		return this.registry.active();
	}

	private Single<StreamingHttpResponse> handle(Exchange exchange) {
		CharSequence lastEvent = exchange.request().headers().get(LAST_EVENT_ID);
		return this.bodies.read(exchange)
			.flatMap((body) -> (lastEvent != null) ? resume(exchange, lastEvent.toString()) : complete(exchange, body));
	}

	private Single<StreamingHttpResponse> resume(Exchange exchange, String lastEvent) {
		EventId id;
		try {
			id = EventId.parse(lastEvent);
		}
		catch (IllegalArgumentException ex) {
			return Single.succeeded(Problems.response(exchange.responses(), Problem.notRun(ProblemKind.BAD_REQUEST,
					String.valueOf(ex.getMessage()), "send the id of the last event received unchanged")));
		}
		return Single.fromStage(this.resumes.resume(exchange.caller().club(), id))
			.map((result) -> response(exchange, id.request(), id.index() + 1, result));
	}

	private Single<StreamingHttpResponse> complete(Exchange exchange, Result<byte[]> body) {
		Principal.Caller caller = exchange.caller();
		Result<ReplyOrder> order = body.flatMap(CompletionParser::parse)
			.flatMap((request) -> this.index.resolve(caller, request.pipeline())
				.flatMap((pipeline) -> order(exchange, request, pipeline)));
		if (order instanceof Result.Ok<ReplyOrder> ok) {
			Start start = new Start(ok.value());
			return Single.fromStage(start.run())
				.beforeCancel(start::cancel)
				.map((result) -> response(exchange, ok.value().id(), 0, result));
		}
		return Single.succeeded(Problems.response(exchange.responses(), ((Result.Failed<ReplyOrder>) order).problem()));
	}

	private Result<ReplyOrder> order(Exchange exchange, CompletionRequest request, ResolvedPipeline pipeline) {
		int maxTokens = (request.maxTokens() != null) ? request.maxTokens() : pipeline.maxTokens();
		if (maxTokens > pipeline.maxTokens()) {
			return Result.failed(Problem.notRun(ProblemKind.BAD_REQUEST,
					"max_tokens " + maxTokens + " exceeds the limit of pipeline '" + pipeline.pipeline() + "'",
					"use at most " + pipeline.maxTokens()));
		}
		return timeout(exchange.request().headers().get(REQUEST_TIMEOUT)).flatMap((timeout) -> {
			RequestId id = new RequestId(this.self, this.incarnation, this.sequence.getAndIncrement());
			return Result.ok(new ReplyOrder(id, exchange.caller(), pipeline.key(), pipeline.layers(), request.prompt(),
					maxTokens, request.priority(), this.services.clock().instant().plus(timeout)));
		});
	}

	private Result<Duration> timeout(@Nullable CharSequence header) {
		if (header == null) {
			return Result.ok(this.services.settings().defaultTimeout());
		}
		long longest = this.services.settings().longestTimeout().toMillis();
		try {
			long millis = Long.parseLong(header.toString().trim());
			if (millis > 0) {
				return Result.ok(Duration.ofMillis(Math.min(millis, longest)));
			}
		}
		catch (NumberFormatException ex) {
			// Falls through to the problem for numbers out of range.
		}
		return Result.failed(Problem.notRun(ProblemKind.BAD_REQUEST, "X-Request-Timeout '" + header + "' is not valid",
				"send a positive number of milliseconds"));
	}

	private static StreamingHttpResponse response(Exchange exchange, RequestId request, int from,
			Result<OpenReply> result) {
		if (result instanceof Result.Failed<OpenReply> failed) {
			return Problems.response(exchange.responses(), failed.problem());
		}
		OpenReply reply = ((Result.Ok<OpenReply>) result).value();
		StreamingHttpResponse response = exchange.responses().ok();
		response.headers().set("content-type", "text/event-stream").set("cache-control", "no-store");
		ReplyCursor cursor = new ReplyCursor(request, reply.log(), from, reply.reader());
		return response.payloadBody(SourceAdapters.fromSource(cursor));
	}

	/**
	 * Start of a reply, which the caller may cancel while it waits.
	 */
	private final class Start {

		private final ReplySession session;

		private volatile boolean cancelled;

		Start(ReplyOrder order) {
			this.session = new ReplySession(order, CompletionHandler.this.services, CompletionHandler.this.registry);
			ReplyLog log = this.session.log();
			log.register(new ReplyLevels(log, order.caller().club(), CompletionHandler.this.levels,
					CompletionHandler.this.services.clock()));
		}

		CompletionStage<Result<OpenReply>> run() {
			ReplyServices services = CompletionHandler.this.services;
			ReplyOrder order = this.session.order();
			services.budget().replyStarted();
			AdmissionRequest request = new AdmissionRequest(order.caller().club(), order.caller().team(),
					order.promptTokens() + order.maxTokens(), order.priority(),
					Duration.between(services.clock().instant(), order.deadline()));
			return services.admission().admit(request).thenCompose(this::admitted);
		}

		private CompletionStage<Result<OpenReply>> admitted(Result<Permit> result) {
			if (result instanceof Result.Failed<Permit> failed) {
				return CompletableFuture.completedFuture(Result.failed(failed.problem()));
			}
			CompletionHandler.this.registry.add(this.session);
			CompletionStage<Result<ReplyLog>> opened = this.session.start(((Result.Ok<Permit>) result).value());
			if (this.cancelled) {
				this.session.abandon();
			}
			return opened.thenApply((log) -> log.flatMap((ok) -> Result.ok(new OpenReply(ok, this.session))));
		}

		void cancel() {
			this.cancelled = true;
			this.session.abandon();
		}

	}

}
