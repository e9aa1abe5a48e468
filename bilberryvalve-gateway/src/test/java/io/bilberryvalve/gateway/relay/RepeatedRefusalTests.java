package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.gateway.route.CallerLimits;
import io.bilberryvalve.gateway.route.RequestKind;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.gateway.route.Team;
import net.jqwik.api.Example;
import org.assertj.core.api.SoftAssertions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of runners that write an earlier refusal once more on a connection.
 */
class RepeatedRefusalTests {

	private static final String CLOSE = "Connection: close\r\n";

	private static final List<String> STATUSES = List.of("503 Full", "429 Many", "421 Other");

	private static final List<String> REPEATABLE_PATHS = List.of("/read/1", "/stream/1");

	private static final List<String> OTHER_PATHS = List.of("/book/1", "/once/1");

	private static final List<String> PATHS = List.of("/read/1", "/stream/1", "/book/1", "/once/1");

	private static final String KEPT = "Keep-Alive: timeout=9\r\n";

	private static final long TIMEOUT_SECONDS = 10;

	private static String refusal(String status, String attemptHeader) {
		return "HTTP/1.1 " + status + "\r\n" + KEPT + attemptHeader + "x-not-run: 1\r\nContent-Length: 4\r\n\r\nbusy";
	}

	private static String answer(String request) {
		return "HTTP/1.1 200 OK\r\nx-attempt: " + attempt(request)
				+ "\r\nx-seal: s1\r\nContent-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: ab\n\n";
	}

	private static String attempt(String request) {
		int at = request.indexOf("x-attempt: ") + 11;
		return request.substring(at, request.indexOf('\r', at));
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static void await(CountDownLatch latch) throws IOException {
		try {
			if (!latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				throw new IOException("the caller has not received its answer");
			}
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private static RelayFixture router(ScriptedRunner... runners) {
		RelayFixture router = new RelayFixture(runners);
		List<Route> routes = List.of(route("/read/", RequestKind.IDEMPOTENT, 1, false),
				route("/again/", RequestKind.IDEMPOTENT, 2, false),
				route("/book/", RequestKind.NON_IDEMPOTENT, 1, false),
				route("/stream/", RequestKind.STREAMING, 1, true), route("/once/", RequestKind.STREAMING, 1, false));
		router.context()
			.configure(new RouteTable(2, routes, List.of(new Service("app", null)),
					List.of(new Team("team-1", List.of("secret"), OptionalInt.empty())),
					new CallerLimits(4096, 1 << 16, Duration.ofSeconds(3), Duration.ofSeconds(15))));
		return router;
	}

	private static Route route(String prefix, RequestKind kind, int attempts, boolean resumable) {
		return new Route(prefix, "host.example", prefix, kind, Duration.ofSeconds(5), Duration.ofSeconds(2),
				Duration.ofMillis(200), 1, List.of(new Route.WeightedService("app", 1)), attempts, false, resumable);
	}

	private static String exchange(RelayFixture router, String path, String attempt) throws IOException {
		return router.exchange(RelayFixture.request("POST", path, attempt, CLOSE, "body"));
	}

	// Two requests on one connection to the only runner, which refuses the first one and
	// writes the given bytes when it has received the second one.
	private static String secondResponse(String status, String path, String bytes, boolean closes) throws IOException {
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			if (count == 0) {
				write(out, attempt(request).equals("a0") ? refusal(status, "x-attempt: a0\r\n") : answer(request));
				return;
			}
			write(out, bytes);
			if (closes) {
				socket.close();
			}
		};
		try (ScriptedRunner runner = new ScriptedRunner(script); RelayFixture router = router(runner)) {
			assertThat(exchange(router, path, "a0")).startsWith("HTTP/1.1 503 ");
			return exchange(router, path, "a1");
		}
	}

	// Guards against a refusal without identifier that is taken for the response to the
	// request that its runner has just begun to run.
	@Example
	void refusalWithoutIdentifierOnAKeptConnectionRefusesNothing() throws IOException {
		SoftAssertions softly = new SoftAssertions();
		for (String status : STATUSES) {
			for (String path : REPEATABLE_PATHS) {
				String repeated = refusal(status, "");
				softly.assertThat(secondResponse(status, path, repeated, false))
					.as(status + ", " + path)
					.startsWith("HTTP/1.1 502 ");
				softly.assertThat(secondResponse(status, path, repeated, true))
					.as(status + ", closed, " + path)
					.startsWith("HTTP/1.1 502 ");
				softly.assertThat(secondResponse(status, path, repeated + answer("x-attempt: a1\r\n"), false))
					.as(status + ", then the answer, " + path)
					.startsWith("HTTP/1.1 502 ");
			}
		}
		softly.assertAll();
	}

	// Guards against a refusal of another request that is taken for the response.
	@Example
	void refusalOfAnotherRequestIsSkipped() throws IOException {
		SoftAssertions softly = new SoftAssertions();
		for (String status : STATUSES) {
			for (String path : REPEATABLE_PATHS) {
				String repeated = refusal(status, "x-attempt: a0\r\n");
				softly.assertThat(secondResponse(status, path, repeated + answer("x-attempt: a1\r\n"), false))
					.as(status + ", then the answer, " + path)
					.startsWith("HTTP/1.1 200 ")
					.contains("ab\n\n");
				softly.assertThat(secondResponse(status, path, repeated, true))
					.as(status + ", closed, " + path)
					.startsWith("HTTP/1.1 502 ");
				softly
					.assertThat(secondResponse(status, path,
							repeated + refusal(status, "") + answer("x-attempt: a1\r\n"), false))
					.as(status + ", twice, " + path)
					.startsWith("HTTP/1.1 502 ");
			}
		}
		softly.assertAll();
	}

	// Guards against a request that is refused although another runner may still serve
	// it: its outcome is unknown, so that it may be repeated.
	@Example
	void requestBehindARepeatedRefusalIsSentToAnotherRunner() throws IOException {
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			if (attempt(request).equals("a0")) {
				write(out, refusal("503 Full", "x-attempt: a0\r\n"));
			}
			else {
				write(out, (count > 0) ? refusal("503 Full", "") : answer(request));
			}
		};
		try (ScriptedRunner one = new ScriptedRunner(script);
				ScriptedRunner two = new ScriptedRunner(script);
				RelayFixture router = router(one, two)) {
			assertThat(exchange(router, "/again/1", "a0")).startsWith("HTTP/1.1 503 ");
			String response = exchange(router, "/again/1", "a1");
			assertThat(response).startsWith("HTTP/1.1 200 ");
			assertThat(router.context().metrics().toPrometheusText())
				.contains("bilberryvalve_failed_attempts_total{repeated=\"true\"} 2");
		}
	}

	// Guards against bytes that arrive between two requests and are taken for the
	// beginning of the next response: the connection is closed, whether or not they
	// are a whole response.
	@Example
	void bytesBetweenTwoRequestsCloseTheConnection() throws IOException {
		List<String> repeated = new ArrayList<>();
		for (String status : STATUSES) {
			for (String header : List.of("x-attempt: a0\r\n", "x-attempt: a1\r\n", "")) {
				String whole = refusal(status, header);
				repeated.addAll(List.of(whole, whole.substring(0, 1), whole.substring(0, 12),
						whole.substring(0, whole.indexOf("x-not-run")), whole.substring(0, whole.length() - 2)));
			}
		}
		for (String bytes : repeated) {
			assertClosedAfter(bytes);
		}
	}

	private static void assertClosedAfter(String bytes) throws IOException {
		CountDownLatch answered = new CountDownLatch(1);
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			if (!attempt(request).equals("a0")) {
				write(out, answer(request));
				return;
			}
			write(out, refusal("503 Full", "x-attempt: a0\r\n"));
			await(answered);
			write(out, bytes);
		};
		try (ScriptedRunner runner = new ScriptedRunner(script); RelayFixture router = router(runner)) {
			assertThat(exchange(router, "/read/1", "a0")).startsWith("HTTP/1.1 503 ");
			answered.countDown();
			runner.awaitClose();
			assertThat(exchange(router, "/read/1", "a1")).as(bytes).startsWith("HTTP/1.1 200 ");
		}
	}

	// Guards against a repeated refusal that bears the identifier of the request, because
	// the request was refused at the same runner before.
	@Example
	void repeatedRefusalOfTheSameAttemptReachesNoRepetition() throws IOException {
		AtomicInteger requests = new AtomicInteger();
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			String refusal = refusal("503 Full", "x-attempt: a1\r\nx-faulty: 127.0.0.1:1\r\n");
			if (requests.getAndIncrement() == 0) {
				write(out, refusal);
			}
			else if (count > 0) {
				write(out, refusal);
			}
			else {
				write(out, answer(request));
			}
		};
		try (ScriptedRunner runner = new ScriptedRunner(script); RelayFixture router = router(runner, runner)) {
			assertThat(exchange(router, "/again/1", "a1")).startsWith("HTTP/1.1 200 ");
		}
	}

	// Guards against a booking that is sent on a kept connection, where an earlier
	// refusal may arrive as its response.
	@Example
	void requestThatMustNotRunTwiceUsesANewConnection() throws IOException {
		ScriptedRunner.Script script = (request, count, socket, out) -> write(out,
				(count == 0 && !attempt(request).equals("a0")) ? answer(request)
						: refusal("503 Full", "x-attempt: " + attempt(request) + "\r\n"));
		try (ScriptedRunner runner = new ScriptedRunner(script); RelayFixture router = router(runner)) {
			for (String path : PATHS) {
				for (String next : OTHER_PATHS) {
					assertThat(exchange(router, path, "a0")).startsWith("HTTP/1.1 503 ");
					assertThat(exchange(router, next, "a1")).startsWith("HTTP/1.1 200 ");
				}
			}
		}
	}

	// Guards against a refusal that is taken for a failure: the first response on a
	// connection needs no identifier.
	@Example
	void refusalOnANewConnectionNeedsNoIdentifier() throws IOException {
		for (String status : STATUSES) {
			for (String path : PATHS) {
				try (ScriptedRunner runner = new ScriptedRunner(
						(request, count, socket, out) -> write(out, refusal(status, "")));
						RelayFixture router = router(runner)) {
					assertThat(exchange(router, path, "a0")).as(status + ", " + path)
						.startsWith("HTTP/1.1 503 ")
						.containsIgnoringCase("retry-after");
				}
			}
		}
	}

	// Guards against a refusal that promises that a request has not run, although its
	// runner did not state that.
	@Example
	void refusalWithoutTheStatementOfTheRunnerIsNotPassedOn() throws IOException {
		SoftAssertions softly = new SoftAssertions();
		for (String status : List.of("503 Full", "429 Many", "408 Slow")) {
			for (String seal : List.of("x-seal: s1\r\n", "")) {
				for (String path : PATHS) {
					try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> write(out,
							"HTTP/1.1 " + status + "\r\nx-attempt: a0\r\n" + seal + "Content-Length: 4\r\n\r\nbusy"));
							RelayFixture router = router(runner)) {
						softly.assertThat(exchange(router, path, "a0"))
							.as(status + ", " + seal + ", " + path)
							.startsWith("HTTP/1.1 502 ")
							.doesNotContain("x-seal");
					}
				}
			}
		}
		softly.assertAll();
	}

	// Guards against a success that is taken for a refusal.
	@Example
	void successThatStatesThatItWasNotRunIsNoRefusal() throws IOException {
		for (String path : PATHS) {
			try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> write(out,
					answer(request).replace("x-seal", "x-not-run: 1\r\nx-seal")));
					RelayFixture router = router(runner)) {
				assertThat(exchange(router, path, "a0")).as(path).startsWith("HTTP/1.1 502 ");
			}
		}
	}

}
