package io.bilberryvalve.daemon.http;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.log.LogEvent;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.utils.BeforeFinallyHttpOperator;
import org.jspecify.annotations.Nullable;

/**
 * Dispatches requests to the handlers of their routes. Checks the sender's credentials
 * and the state of the entry first, and counts a request as in progress until the last
 * byte of its response has been sent or the response has been cancelled.
 */
public final class Router implements StreamingHttpService {

	private static final System.Logger LOGGER = System.getLogger(Router.class.getName());

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	private final List<Route> routes;

	private final Credentials credentials;

	private final Lifecycle lifecycle;

	private final RequestObserver observer;

	private final Clock clock;

	/**
	 * Creates a router.
	 * @param routes all routes of the entry; the first match applies
	 * @param credentials authenticates callers and operators
	 * @param lifecycle state of this entry and its number of requests in progress
	 * @param observer receives the status and the duration of each response of a route
	 * @param clock measures response times
	 */
	public Router(List<Route> routes, Credentials credentials, Lifecycle lifecycle, RequestObserver observer,
			Clock clock) {
		this.routes = List.copyOf(routes);
		this.credentials = credentials;
		this.lifecycle = lifecycle;
		this.observer = observer;
		this.clock = clock;
	}

	@Override
	public Single<StreamingHttpResponse> handle(HttpServiceContext ctx, StreamingHttpRequest request,
			StreamingHttpResponseFactory responses) {
		List<String> segments = segments(request.path());
		List<Route> candidates = candidates(segments);
		Route route = selectByMethod(candidates, request);
		if (route == null) {
			return reject(request, responses, noRoute(request, candidates));
		}
		if (route.countedForDrain() && this.lifecycle.state() == ServingState.STARTING) {
			// Without a configuration no key is known, so valid keys would be rejected
			// as unknown.
			return reject(request, responses, unavailable());
		}
		Principal principal = this.credentials.authenticate(request.headers().get("authorization"));
		Problem denied = checkAccess(route.access(), principal);
		if (denied != null) {
			return reject(request, responses, denied);
		}
		Exchange exchange = new Exchange(request, responses, segments, principal);
		return route.countedForDrain() ? handleCounted(route, exchange) : respond(route, exchange);
	}

	private Single<StreamingHttpResponse> handleCounted(Route route, Exchange exchange) {
		if (!this.lifecycle.tryBeginRequest()) {
			return reject(exchange.request(), exchange.responses(), unavailable());
		}
		return respond(route, exchange).liftSync(new BeforeFinallyHttpOperator(this.lifecycle::endRequest));
	}

	private Problem unavailable() {
		String state = this.lifecycle.state().name().toLowerCase(Locale.ROOT);
		return Problem
			.notRun(ProblemKind.UNAVAILABLE, "this entry is " + state,
					"ask GET /v1/entries of another entry for the entries to use and repeat the request there")
			.withRetryAfter(RETRY_DELAY);
	}

	private Single<StreamingHttpResponse> respond(Route route, Exchange exchange) {
		Instant start = this.clock.instant();
		return invoke(route, exchange).onErrorReturn((cause) -> internalError(exchange, cause)).map((response) -> {
			this.observer.onResponse(route, response.status().code(), Duration.between(start, this.clock.instant()));
			return closeIfLeaving(response);
		});
	}

	private static Single<StreamingHttpResponse> invoke(Route route, Exchange exchange) {
		try {
			return route.handler().handle(exchange);
		}
		catch (RuntimeException ex) {
			return Single.failed(ex);
		}
	}

	private StreamingHttpResponse closeIfLeaving(StreamingHttpResponse response) {
		ServingState state = this.lifecycle.state();
		// HTTP/2 forbids this header; its connections close when the server stops.
		boolean http1 = response.version().major() == 1;
		if (http1 && (state == ServingState.LEAVING || state == ServingState.DRAINING)) {
			response.headers().set("connection", "close");
		}
		return response;
	}

	private static StreamingHttpResponse internalError(Exchange exchange, Throwable cause) {
		StackTraceElement[] frames = cause.getStackTrace();
		LogEvent.of("request-failed")
			.with("path", exchange.request().path())
			.with("cause", cause)
			.with("frame", (frames.length > 0) ? frames[0] : null)
			.log(LOGGER, System.Logger.Level.ERROR);
		return Problems.response(exchange.responses(), new Problem(ProblemKind.INTERNAL, Outcome.UNKNOWN,
				"the entry failed to answer", "repeat the request if it is idempotent and report the fault", null));
	}

	private Single<StreamingHttpResponse> reject(StreamingHttpRequest request, StreamingHttpResponseFactory responses,
			Problem problem) {
		StreamingHttpResponse response = closeIfLeaving(Problems.response(responses, problem));
		if (problem.kind() == ProblemKind.UNAUTHENTICATED) {
			response.headers().set("www-authenticate", "Bearer");
		}
		return Single.succeeded(response);
	}

	private static @Nullable Problem checkAccess(Access access, @Nullable Principal principal) {
		if (access == Access.PUBLIC) {
			return null;
		}
		if (principal == null) {
			return Problem.notRun(ProblemKind.UNAUTHENTICATED, "the key is missing or unknown",
					"send a key from the configuration as 'Authorization: Bearer <key>'");
		}
		boolean allowed = (access == Access.CALLER) ? principal instanceof Principal.Caller
				: principal instanceof Principal.Operator;
		return allowed ? null : Problem.notRun(ProblemKind.FORBIDDEN, "the key belongs to the wrong role",
				"use the key of " + ((access == Access.CALLER) ? "a caller" : "an operator"));
	}

	private static Problem noRoute(StreamingHttpRequest request, List<Route> candidates) {
		if (candidates.isEmpty()) {
			return Problem.notRun(ProblemKind.NOT_FOUND, "there is no resource at this path",
					"see the README for the paths");
		}
		return Problem.notRun(ProblemKind.METHOD_NOT_ALLOWED,
				"method " + request.method().name() + " is not allowed here",
				"use " + candidates.get(0).method().name());
	}

	private List<Route> candidates(List<String> segments) {
		List<Route> found = new ArrayList<>();
		for (Route route : this.routes) {
			if (route.matches(segments)) {
				found.add(route);
			}
		}
		return found;
	}

	private static @Nullable Route selectByMethod(List<Route> candidates, StreamingHttpRequest request) {
		for (Route route : candidates) {
			if (route.method().equals(request.method())) {
				return route;
			}
		}
		return null;
	}

	private static List<String> segments(String path) {
		return List.of(path.startsWith("/") ? path.substring(1).split("/", -1) : path.split("/", -1));
	}

}
