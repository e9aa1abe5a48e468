package io.bilberryvalve.standins.http;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.net.SocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CopyOnWriteArrayList;

import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.standins.fault.Faults;
import io.bilberryvalve.standins.fault.Service;
import io.servicetalk.concurrent.api.Completable;
import io.servicetalk.concurrent.api.Single;
import io.servicetalk.http.api.HttpRequest;
import io.servicetalk.http.api.HttpRequestMethod;
import io.servicetalk.http.api.HttpResponseStatus;
import io.servicetalk.http.api.HttpServiceContext;
import io.servicetalk.http.api.StreamingHttpRequest;
import io.servicetalk.http.api.StreamingHttpResponse;
import io.servicetalk.http.api.StreamingHttpResponseFactory;
import io.servicetalk.http.api.StreamingHttpService;

/**
 * Finds the route of a request and injects the faults in force.
 */
final class StandinService implements StreamingHttpService {

	private static final Logger LOGGER = System.getLogger(StandinService.class.getName());

	private static final String PROBLEM_JSON = "application/problem+json";

	private static final long MILLIS_PER_SECOND = 1000;

	private final List<Route> routes;

	private final Faults faults;

	private final Connections connections;

	StandinService(List<Route> routes, Faults faults, Connections connections) {
		this.routes = new CopyOnWriteArrayList<>(routes);
		this.faults = faults;
		this.connections = connections;
	}

	void add(Route route) {
		this.routes.add(route);
	}

	@Override
	public Single<StreamingHttpResponse> handle(HttpServiceContext context, StreamingHttpRequest request,
			StreamingHttpResponseFactory responses) {
		return request.toRequest().flatMap((whole) -> route(context, whole, responses));
	}

	private Single<StreamingHttpResponse> route(HttpServiceContext context, HttpRequest request,
			StreamingHttpResponseFactory responses) {
		List<String> segments = segments(request.rawPath());
		for (Route route : this.routes) {
			List<String> parameters = route.match(segments);
			if (parameters != null && route.method().equals(request.method())) {
				Call call = new Call(request, parameters, responses);
				Service service = route.service();
				return (service != null) ? faulty(context, service, route.handler(), call)
						: answer(route.handler(), call);
			}
		}
		Problem problem = Problem.notRun(ProblemKind.NOT_FOUND, request.method() + " " + request.rawPath(),
				"use a path that the design page lists");
		return Single.succeeded(problem(new Call(request, List.of(), responses), problem));
	}

	private Single<StreamingHttpResponse> faulty(HttpServiceContext context, Service service, Handler handler,
			Call call) {
		SocketAddress remote = context.remoteAddress();
		if (mute(remote)) {
			return Single.never();
		}
		Duration delay = this.faults.delay(service);
		if (delay.isZero()) {
			return answer(context, service, handler, call);
		}
		return context.executionContext()
			.executor()
			.timer(delay)
			.concat(Single.defer(() -> answer(context, service, handler, call)));
	}

	private Single<StreamingHttpResponse> answer(HttpServiceContext context, Service service, Handler handler,
			Call call) {
		if (this.faults.out(service)) {
			return Single.succeeded(problem(call, new Problem(ProblemKind.UNAVAILABLE, Outcome.NOT_RUN,
					"outage of " + service.text(), "repeat the request later", Duration.ofSeconds(1))));
		}
		boolean write = !call.request().method().equals(HttpRequestMethod.GET);
		SocketAddress remote = context.remoteAddress();
		return answer(handler, call).flatMap((response) -> {
			if (write && response.status().statusClass() == HttpResponseStatus.StatusClass.SUCCESSFUL_2XX
					&& this.faults.takeLostAnswer(service)) {
				LogEvent.of("answer-lost").with("service", service.text()).log(LOGGER, Level.INFO);
				return context.closeAsync().concat(Single.never());
			}
			return mute(remote) ? Single.never() : Single.succeeded(mutable(context, response));
		});
	}

	private boolean mute(SocketAddress remote) {
		return this.faults.silent() || this.connections.silenced(remote);
	}

	// Lets a streamed answer go silent when its connection is silenced before its end.
	// The
	// events leave the event loop first: the server flushes before it writes if events
	// come from its loop after one has come from another thread, and so keeps back the
	// last event.
	private StreamingHttpResponse mutable(HttpServiceContext context, StreamingHttpResponse response) {
		SocketAddress remote = context.remoteAddress();
		if (response.headers().contains("content-length")) {
			return response;
		}
		return response.transformPayloadBody((body) -> body.publishOn(context.executionContext().executor())
			.filter((item) -> !mute(remote))
			.concat(Completable.defer(() -> mute(remote) ? Completable.never() : Completable.completed())));
	}

	private static Single<StreamingHttpResponse> answer(Handler handler, Call call) {
		return Single.defer(() -> handler.handle(call))
			.onErrorResume((error) -> Single.succeeded(problem(call, explain(error))));
	}

	private static Problem explain(Throwable error) {
		Throwable cause = (error instanceof CompletionException && error.getCause() != null) ? error.getCause() : error;
		if (cause instanceof StandinException refused) {
			return refused.problem();
		}
		if (cause instanceof IllegalArgumentException) {
			return Problem.notRun(ProblemKind.BAD_REQUEST, String.valueOf(cause.getMessage()), "correct the request");
		}
		if (cause instanceof CancellationException) {
			return Problem.unknown(ProblemKind.INTERNAL, "the client closed the connection", "send the request again");
		}
		LOGGER.log(Level.ERROR, LogEvent.of("request-failed").with("error", cause).toString(), cause);
		return Problem.unknown(ProblemKind.INTERNAL, cause.toString(), "read the log of the stand-in");
	}

	private static StreamingHttpResponse problem(Call call, Problem problem) {
		HttpResponseStatus status = HttpResponseStatus.of(problem.kind().status(), problem.kind().text());
		StreamingHttpResponse response = call.text(status, PROBLEM_JSON, Json.write(problem));
		Duration delay = problem.retryAfter();
		if (delay != null) {
			long seconds = (delay.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			response.headers().set("retry-after", Long.toString(Math.max(1, seconds)));
		}
		return response;
	}

	private static List<String> segments(String rawPath) {
		List<String> segments = new ArrayList<>();
		for (String segment : rawPath.substring(1).split("/", -1)) {
			// URLDecoder turns '+' into a blank, which is right for forms only.
			segments.add(URLDecoder.decode(segment.replace("+", "%2B"), StandardCharsets.UTF_8));
		}
		return segments;
	}

}
