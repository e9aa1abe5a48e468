package io.bilberryvalve.daemon.reply;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.daemon.http.Access;
import io.bilberryvalve.daemon.http.BodyReader;
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
 * a chain and streams the tokens. With {@code Last-Event-ID} it resumes a reply.
 * <p>
 * {@link #tick()} must be called at least every 100 ms; it enforces deadlines and detects
 * silent engines.
 */
public final class CompletionHandler {

	private static final String LAST_EVENT_ID = "last-event-id";

	private static final String REQUEST_TIMEOUT = "x-request-timeout";

	/** Reads request bodies within limits of size and time. */
	private final BodyReader bodyReader;

	private final ServiceLevelRecorder serviceLevels;

	private final ReplyServices services;

	private final PipelineIndex index;

	private final ReplyRegistry registry;

	private final ResumeService resumeService;

	private final VmId self;

	private final long incarnation;

	private final AtomicLong sequence = new AtomicLong();

	/**
	 * Creates the handler and registers it for resume calls of other entries.
	 * @param services collaborators and settings of replies
	 * @param configuration source of the configuration in force
	 * @param peers network of the other entries
	 * @param self id of the VM of this entry
	 * @param incarnation incarnation of this daemon, part of the request ids
	 * @param bodyReader reads request bodies
	 * @param serviceLevels recorder for the service levels of new replies
	 */
	public CompletionHandler(ReplyServices services, ConfigurationSource configuration, PeerNetwork peers, VmId self,
			long incarnation, BodyReader bodyReader, ServiceLevelRecorder serviceLevels) {
		this.bodyReader = bodyReader;
		this.serviceLevels = serviceLevels;
		this.services = services;
		this.index = new PipelineIndex(configuration);
		this.registry = new ReplyRegistry(services.clock(), services.settings());
		this.resumeService = new ResumeService(services, this.registry, peers, this.index, self);
		this.self = self;
		this.incarnation = incarnation;
	}

	/**
	 * Returns the routes of this handler.
	 * @return the route of {@code POST /v1/completions}
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
	 * @return number of admitted replies of this entry that have not ended
	 */
	public int activeReplies() {
		return this.registry.activeCount();
	}

	private Single<StreamingHttpResponse> handle(Exchange exchange) {
		CharSequence lastEvent = exchange.request().headers().get(LAST_EVENT_ID);
		return this.bodyReader.read(exchange)
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
		return Single.fromStage(this.resumeService.resume(exchange.caller().club(), id))
			.map((result) -> response(exchange, id.request(), id.index() + 1, result));
	}

	private Single<StreamingHttpResponse> complete(Exchange exchange, Result<byte[]> body) {
		Principal.Caller caller = exchange.caller();
		Result<ReplyRequest> resolved = body.flatMap(CompletionParser::parse)
			.flatMap((request) -> this.index.resolve(caller, request.pipeline())
				.flatMap((pipeline) -> toReplyRequest(exchange, request, pipeline)));
		if (resolved instanceof Result.Ok<ReplyRequest> ok) {
			PendingReply pending = new PendingReply(ok.value());
			return Single.fromStage(pending.run())
				.beforeCancel(pending::cancel)
				.map((result) -> response(exchange, ok.value().id(), 0, result));
		}
		return Single
			.succeeded(Problems.response(exchange.responses(), ((Result.Failed<ReplyRequest>) resolved).problem()));
	}

	private Result<ReplyRequest> toReplyRequest(Exchange exchange, CompletionRequest request,
			ResolvedPipeline pipeline) {
		int maxTokens = (request.maxTokens() != null) ? request.maxTokens() : pipeline.maxTokens();
		if (maxTokens > pipeline.maxTokens()) {
			return Result.failed(Problem.notRun(ProblemKind.BAD_REQUEST,
					"max_tokens " + maxTokens + " exceeds the limit of pipeline '" + pipeline.pipeline() + "'",
					"use at most " + pipeline.maxTokens()));
		}
		return timeout(exchange.request().headers().get(REQUEST_TIMEOUT)).flatMap((timeout) -> {
			RequestId id = new RequestId(this.self, this.incarnation, this.sequence.getAndIncrement());
			return Result.ok(new ReplyRequest(id, exchange.caller(), pipeline.key(), pipeline.layers(),
					request.prompt(), maxTokens, request.priority(), this.services.clock().instant().plus(timeout)));
		});
	}

	private Result<Duration> timeout(@Nullable CharSequence header) {
		if (header == null) {
			return Result.ok(this.services.settings().defaultTimeout());
		}
		long longest = this.services.settings().maxTimeout().toMillis();
		try {
			long millis = Long.parseLong(header.toString().trim());
			if (millis > 0) {
				return Result.ok(Duration.ofMillis(Math.min(millis, longest)));
			}
		}
		catch (NumberFormatException ex) {
			// Reported below, like a number that is out of range.
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
		ReplyPublisher publisher = new ReplyPublisher(request, reply.log(), from, reply.listener());
		return response.payloadBody(SourceAdapters.fromSource(publisher));
	}

	/**
	 * A reply that waits for admission and for an engine to accept it. The caller may
	 * cancel it meanwhile.
	 */
	private final class PendingReply {

		private final ReplySession session;

		private volatile boolean cancelled;

		PendingReply(ReplyRequest request) {
			this.session = new ReplySession(request, CompletionHandler.this.services, CompletionHandler.this.registry);
			ReplyLog log = this.session.log();
			log.addListener(new ReplySloTracker(log, request.caller().club(), CompletionHandler.this.serviceLevels,
					CompletionHandler.this.services.clock()));
		}

		CompletionStage<Result<OpenReply>> run() {
			ReplyServices services = CompletionHandler.this.services;
			ReplyRequest request = this.session.request();
			services.budget().recordReply();
			AdmissionRequest admission = new AdmissionRequest(request.caller().club(), request.caller().team(),
					request.estimatedPromptTokens() + request.maxTokens(), request.priority(),
					Duration.between(services.clock().instant(), request.deadline()));
			return services.admission().admit(admission).thenCompose(this::admitted);
		}

		private CompletionStage<Result<OpenReply>> admitted(Result<Permit> result) {
			if (result instanceof Result.Failed<Permit> failed) {
				return CompletableFuture.completedFuture(Result.failed(failed.problem()));
			}
			CompletionHandler.this.registry.add(this.session);
			CompletionStage<Result<ReplyLog>> opened = this.session.start(((Result.Ok<Permit>) result).value());
			if (this.cancelled) {
				this.session.cancelIfUnread();
			}
			return opened.thenApply((log) -> log.flatMap((ok) -> Result.ok(new OpenReply(ok, this.session))));
		}

		void cancel() {
			this.cancelled = true;
			this.session.cancelIfUnread();
		}

	}

}
