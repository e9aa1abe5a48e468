package io.bilberryvalve.daemon.call;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicReference;

import io.bilberryvalve.daemon.configuration.ConfigurationSource;
import io.bilberryvalve.daemon.http.Access;
import io.bilberryvalve.daemon.http.BodyReader;
import io.bilberryvalve.daemon.http.Exchange;
import io.bilberryvalve.daemon.http.Problems;
import io.bilberryvalve.daemon.http.Route;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.policy.once.ExecutionAnswer;
import io.bilberryvalve.policy.once.ExecutionKey;
import io.bilberryvalve.policy.once.IssuedKeys;
import io.servicetalk.buffer.netty.BufferAllocators;
import io.servicetalk.concurrent.api.Publisher;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.StreamingHttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * Handles HTTP requests that call an application operation or ask for an idempotency key.
 */
public final class CallHandler {

	/**
	 * Maximum length of a response stored for repeated requests, in characters of its
	 * encoded form. For a larger response only the fact that the call was executed is
	 * stored.
	 */
	static final int MAX_STORED_RESULT_CHARS = 256 << 10;

	/** Status in place of a response that was too large to store. */
	private static final int STATUS_NOT_STORED = 0;

	private final CallAuthorizer authorizer;

	private final BodyReader bodyReader;

	private final CallDispatcher dispatcher;

	private final ExecutionStore store;

	private final IssuedKeyCallService issuedKeyCalls;

	private final DeadlineParser deadlineParser;

	/**
	 * Creates a handler.
	 * @param configuration provides the applications and the callers they admit
	 * @param bodyReader reads request bodies
	 * @param dispatcher sends calls to runners
	 * @param store makes calls with keys that callers chose
	 * @param issuedKeyCalls makes calls with keys that entries issued
	 * @param timeout timeout of a request without an {@code X-Request-Timeout} header
	 * @param clock monotonic clock
	 */
	public CallHandler(ConfigurationSource configuration, BodyReader bodyReader, CallDispatcher dispatcher,
			ExecutionStore store, IssuedKeyCallService issuedKeyCalls, Duration timeout, Clock clock) {
		this.authorizer = new CallAuthorizer(configuration);
		this.bodyReader = bodyReader;
		this.dispatcher = dispatcher;
		this.store = store;
		this.issuedKeyCalls = issuedKeyCalls;
		this.deadlineParser = new DeadlineParser(timeout, clock);
	}

	/**
	 * Returns the routes of this handler.
	 * @return the routes for calls and for new keys
	 */
	public List<Route> routes() {
		return List.of(Route.of(HttpRequestMethod.POST, "/v1/applications/{application}/{operation}", Access.CALLER,
				true, this::call), Route.of(HttpRequestMethod.POST, "/v1/keys", Access.CALLER, true, this::issueKey));
	}

	private Single<StreamingHttpResponse> issueKey(Exchange exchange) {
		Optional<String> key = this.issuedKeyCalls.issueKey(exchange.caller().club());
		if (key.isEmpty()) {
			Problem problem = Problem
				.notRun(ProblemKind.OVERLOADED, "this entry has issued too many keys", "repeat the request later")
				.withRetryAfter(Duration.ofSeconds(1));
			return Single.succeeded(Problems.response(exchange.responses(), problem));
		}
		String body = "{\"key\":\"" + key.get() + "\",\"ttlSeconds\":" + IssuedKeys.LIFETIME.toSeconds() + "}";
		StreamingHttpResponse response = exchange.responses().created();
		response.headers().set("content-type", "application/json");
		return Single
			.succeeded(response.payloadBody(Publisher.from(BufferAllocators.DEFAULT_ALLOCATOR.fromUtf8(body))));
	}

	private Single<StreamingHttpResponse> call(Exchange exchange) {
		Result<CallAuthorizer.Grant> grant = this.authorizer.authorize(exchange.caller(), exchange.segments().get(2),
				exchange.segments().get(3));
		if (grant instanceof Result.Failed<CallAuthorizer.Grant> failed) {
			return Single.succeeded(Problems.response(exchange.responses(), failed.problem()));
		}
		CallAuthorizer.Grant granted = ((Result.Ok<CallAuthorizer.Grant>) grant).value();
		Result<Instant> parsed = this.deadlineParser.parse(exchange);
		if (parsed instanceof Result.Failed<Instant> failed) {
			return Single.succeeded(Problems.response(exchange.responses(), failed.problem()));
		}
		Instant deadline = ((Result.Ok<Instant>) parsed).value();
		return this.bodyReader.read(exchange).flatMap((body) -> {
			CompletionStage<Result<CallReply>> reply = (body instanceof Result.Ok<byte[]> ok)
					? execute(exchange, granted, ok.value(), deadline)
					: CompletableFuture.completedFuture(Result.failed(((Result.Failed<byte[]>) body).problem()));
			return Single.fromStage(reply).map((result) -> response(exchange, result));
		});
	}

	private CompletionStage<Result<CallReply>> execute(Exchange exchange, CallAuthorizer.Grant grant, byte[] body,
			Instant deadline) {
		CharSequence header = exchange.request().headers().get("idempotency-key");
		String key = (header != null) ? header.toString() : null;
		CharSequence type = exchange.request().headers().get("content-type", "application/octet-stream");
		ApplicationCall call = new ApplicationCall(exchange.caller().club(), grant.application(), grant.operation(),
				type.toString(), body, grant.upstreamKey(exchange.caller().club(), key));
		if (grant.idempotent()) {
			return this.dispatcher.dispatchIdempotent(call, deadline).thenApply(CallHandler::idempotentResult);
		}
		if (key == null) {
			return failed(Problem.notRun(ProblemKind.BAD_REQUEST,
					"operation " + grant.operation() + " must not be repeated, and the request has no Idempotency-Key",
					"add the header Idempotency-Key with a key of your choice or one from POST /v1/keys"));
		}
		return callOnce(key, call, deadline);
	}

	private CompletionStage<Result<CallReply>> callOnce(String key, ApplicationCall call, Instant deadline) {
		if (key.startsWith(IssuedKeys.PREFIX)) {
			VmId issuer = IssuedKeys.issuer(key).orElse(null);
			return (issuer != null) ? this.issuedKeyCalls.call(issuer, key, call, deadline)
					: failed(Problem.notRun(ProblemKind.BAD_REQUEST, "the issued key is malformed",
							"send the key from POST /v1/keys unchanged"));
		}
		ExecutionKey execution;
		try {
			execution = new ExecutionKey(call.club(), key);
		}
		catch (IllegalArgumentException ex) {
			return failed(CallProblems.badRequest(ex));
		}
		return callRecorded(execution, call, deadline);
	}

	private CompletionStage<Result<CallReply>> callRecorded(ExecutionKey key, ApplicationCall call, Instant deadline) {
		AtomicReference<@Nullable CallResult> fullResult = new AtomicReference<>();
		return this.store.call(key, call.digest(), deadline,
				() -> this.dispatcher.dispatchOnce(call, deadline).thenApply((reply) -> {
					if (reply instanceof ApplicationClient.Reply.Answered answered) {
						fullResult.set(answered.result());
					}
					return IssuedKeyCallService.DispatchResults.fromReply(dropLargeBody(reply));
				}))
			.thenApply((answer) -> recordedResult(answer, fullResult.get()));
	}

	private static ApplicationClient.Reply dropLargeBody(ApplicationClient.Reply reply) {
		if (reply instanceof ApplicationClient.Reply.Answered answered
				&& answered.result().encode().length() > MAX_STORED_RESULT_CHARS) {
			return new ApplicationClient.Reply.Answered(new CallResult(STATUS_NOT_STORED, "", new byte[0]));
		}
		return reply;
	}

	private static Result<CallReply> recordedResult(ExecutionAnswer answer, @Nullable CallResult fullResult) {
		if (!(answer instanceof ExecutionAnswer.Completed completed)) {
			return Result.failed(CallProblems.of(answer));
		}
		CallResult result = (fullResult != null) ? fullResult : CallResult.decode(completed.result());
		return (result.status() != STATUS_NOT_STORED) ? Result.ok(new CallReply(result, completed.repeated()))
				: Result.failed(CallProblems.completedWithoutBody());
	}

	private static Result<CallReply> idempotentResult(ApplicationClient.Reply reply) {
		if (reply instanceof ApplicationClient.Reply.Answered answered) {
			return Result.ok(new CallReply(answered.result(), false));
		}
		if (reply instanceof ApplicationClient.Reply.NotSent) {
			return Result.failed(CallProblems.noUpstream());
		}
		return Result.failed(
				Problem
					.unknown(ProblemKind.RUNNER_FAILED, "the runner did not answer",
							"repeat the request; the operation is idempotent")
					.withRetryAfter(Duration.ofSeconds(1)));
	}

	private static StreamingHttpResponse response(Exchange exchange, Result<CallReply> result) {
		if (result instanceof Result.Failed<CallReply> failed) {
			return Problems.response(exchange.responses(), failed.problem());
		}
		CallReply reply = ((Result.Ok<CallReply>) result).value();
		CallResult value = reply.result();
		StreamingHttpResponse response = exchange.responses().newResponse(HttpResponseStatus.of(value.status(), ""));
		response.headers().set("content-type", value.contentType());
		if (reply.repeated()) {
			response.headers().set("idempotency-replayed", "true");
		}
		return response.payloadBody(Publisher.from(BufferAllocators.DEFAULT_ALLOCATOR.wrap(value.body())));
	}

	private static CompletionStage<Result<CallReply>> failed(Problem problem) {
		return CompletableFuture.completedFuture(Result.failed(problem));
	}

}
