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
 * Finds the route of a request, checks the sender and the state of the entry, and counts
 * requests in progress until the last byte of the response.
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
	 * @param routes the routes
	 * @param credentials keys of callers and operators
	 * @param lifecycle state of this entry
	 * @param observer is told about each response
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
		Route route = select(candidates, request);
		if (route == null) {
			return refuse(request, responses, missing(request, candidates));
		}
		if (route.counted() && this.lifecycle.state() == ServingState.STARTING) {
			// Without a configuration no key is known, so a refusal of the key would
			// mislead.
			return refuse(request, responses, unavailable());
		}
		Principal principal = this.credentials.principal(request.headers().get("authorization"));
		Problem denied = denied(route.access(), principal);
		if (denied != null) {
			return refuse(request, responses, denied);
		}
		Exchange exchange = new Exchange(request, responses, segments, principal);
		return route.counted() ? handleCounted(route, exchange) : answer(route, exchange);
	}

	private Single<StreamingHttpResponse> handleCounted(Route route, Exchange exchange) {
		if (!this.lifecycle.begin()) {
			return refuse(exchange.request(), exchange.responses(), unavailable());
		}
		return answer(route, exchange).liftSync(new BeforeFinallyHttpOperator(this.lifecycle::end));
	}

	private Problem unavailable() {
		String state = this.lifecycle.state().name().toLowerCase(Locale.ROOT);
		return Problem
			.notRun(ProblemKind.UNAVAILABLE, "this entry is " + state,
					"ask GET /v1/entries of another entry for the entries to use and repeat the request there")
			.withRetryAfter(RETRY_DELAY);
	}

	private Single<StreamingHttpResponse> answer(Route route, Exchange exchange) {
		Instant start = this.clock.instant();
		return call(route, exchange).onErrorReturn((cause) -> failure(exchange, cause)).map((response) -> {
			this.observer.responded(route, response.status().code(), Duration.between(start, this.clock.instant()));
			return closeIfLeaving(response);
		});
	}

	private static Single<StreamingHttpResponse> call(Route route, Exchange exchange) {
		try {
			return route.handler().handle(exchange);
		}
		catch (RuntimeException ex) {
			return Single.failed(ex);
		}
	}

	private StreamingHttpResponse closeIfLeaving(StreamingHttpResponse response) {
		ServingState state = this.lifecycle.state();
		// HTTP/2 has no such header; its connections end with the server.
		boolean http1 = response.version().major() == 1;
		if (http1 && (state == ServingState.LEAVING || state == ServingState.DRAINING)) {
			response.headers().set("connection", "close");
		}
		return response;
	}

	private static StreamingHttpResponse failure(Exchange exchange, Throwable cause) {
		StackTraceElement[] frames = cause.getStackTrace();
		LogEvent.of("request-failed")
			.with("path", exchange.request().path())
			.with("cause", cause)
			.with("frame", (frames.length > 0) ? frames[0] : null)
			.log(LOGGER, System.Logger.Level.ERROR);
		return Problems.response(exchange.responses(), new Problem(ProblemKind.INTERNAL, Outcome.UNKNOWN,
				"the entry failed to answer", "repeat the request if it is idempotent and report the fault", null));
	}

	private Single<StreamingHttpResponse> refuse(StreamingHttpRequest request, StreamingHttpResponseFactory responses,
			Problem problem) {
		StreamingHttpResponse response = closeIfLeaving(Problems.response(responses, problem));
		if (problem.kind() == ProblemKind.UNAUTHENTICATED) {
			response.headers().set("www-authenticate", "Bearer");
		}
		return Single.succeeded(response);
	}

	private static @Nullable Problem denied(Access access, @Nullable Principal principal) {
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

	private static Problem missing(StreamingHttpRequest request, List<Route> candidates) {
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

	private static @Nullable Route select(List<Route> candidates, StreamingHttpRequest request) {
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
