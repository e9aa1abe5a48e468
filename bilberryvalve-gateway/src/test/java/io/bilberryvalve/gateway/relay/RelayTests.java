package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.policy.membership.ShutdownSchedule;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class RelayTests {

	private static final String CLOSE = "Connection: close\r\n";

	private static String ok(String attempt, String body) {
		return "HTTP/1.1 200 OK\r\nx-attempt: " + attempt + "\r\nx-seal: s1\r\nContent-Length: " + body.length()
				+ "\r\n\r\n" + body;
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static String attempt(String request) {
		int at = request.indexOf("x-attempt: ") + 11;
		return request.substring(at, request.indexOf('\r', at));
	}

	private static void reset(Socket socket) throws IOException {
		socket.setSoLinger(true, 0);
		socket.close();
	}

	private static ScriptedRunner echoing() {
		return new ScriptedRunner((request, count, socket, out) -> write(out, ok(attempt(request), "hello")));
	}

	// Guards against responses that are altered by the router, and against API keys
	// that are passed on to runners.
	@Example
	void responseIsUnchangedAndTheKeyIsNotPassedOn() throws IOException {
		try (ScriptedRunner runner = echoing(); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			String more = CLOSE + "x-team: forged\r\nx-expect: forged\r\nx-custom: kept\r\n";
			String response = router.exchange(RelayFixture.request("POST", "/book/1?q=2", "a1", more, "order"));
			assertThat(response).startsWith("HTTP/1.1 200 OK\r\n").contains("x-seal: s1").endsWith("\r\n\r\nhello");
			String received = runner.next();
			assertThat(received).startsWith("POST /book/1?q=2 HTTP/1.1\r\n").endsWith("\r\n\r\norder");
			assertThat(received).contains("x-team: team-1", "x-expect: runner-0", "x-custom: kept")
				.doesNotContain("secret", "forged");
		}
	}

	// Guards against a runner that works on after its caller's deadline: the router
	// passes on the remaining time.
	@Example
	void remainingTimeIsPassedOnAsDeadline() throws IOException {
		try (ScriptedRunner runner = echoing(); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			router.exchange(RelayFixture.request("GET", "/read/1", "a1", CLOSE, ""));
			String received = runner.next();
			int at = received.indexOf("x-deadline: ") + 12;
			assertThat(Integer.parseInt(received.substring(at, received.indexOf('\r', at)))).isBetween(1, 4000);
		}
	}

	// Guards against an empty stream that a caller takes for complete, because its runner
	// ended before the first event and the response has no framing.
	@Example
	void unframedStreamWithoutEventsIsSentToAnotherRunner() throws IOException {
		AtomicInteger attempts = new AtomicInteger();
		ScriptedRunner.Script emptyAtFirst = (request, count, socket, out) -> {
			write(out, "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s\r\nContent-Type: text/event-stream\r\n\r\n"
					+ ((attempts.getAndIncrement() > 0) ? "id: 1\ndata: x\n\n" : ""));
			socket.close();
		};
		try (ScriptedRunner one = new ScriptedRunner(emptyAtFirst);
				ScriptedRunner other = new ScriptedRunner(emptyAtFirst);
				RelayFixture router = new RelayFixture(one, other).withConfiguration()) {
			assertThat(router.exchange(RelayFixture.request("POST", "/stream/1", "a1", CLOSE, "question")))
				.startsWith("HTTP/1.1 200 ")
				.contains("id: 1");
		}
	}

	// Guards against an unframed stream that is cut although it ended after an event.
	@Example
	void unframedStreamEndsWithItsConnection() throws IOException {
		ScriptedRunner.Script whole = (request, count, socket, out) -> {
			write(out, "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s\r\nContent-Type: text/event-stream\r\n\r\n"
					+ "id: 1\ndata: x\n\n");
			socket.close();
		};
		try (ScriptedRunner runner = new ScriptedRunner(whole);
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			assertThat(router.exchange(RelayFixture.request("POST", "/stream/1", "a1", CLOSE, "question")))
				.startsWith("HTTP/1.1 200 ")
				.endsWith("0\r\n\r\n");
		}
	}

	// Guards against a booking that runs twice: a response that breaks off does not
	// prove that the request did not run.
	@Example
	void nonIdempotentRequestIsNotSentAgainAfterACutResponse() throws IOException {
		ScriptedRunner.Script cut = (request, count, socket, out) -> {
			write(out, "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s\r\nContent-Length: 50\r\n\r\npart");
			reset(socket);
		};
		try (ScriptedRunner one = new ScriptedRunner(cut);
				ScriptedRunner two = new ScriptedRunner(cut);
				RelayFixture router = new RelayFixture(one, two).withConfiguration()) {
			String response = router.exchange(RelayFixture.request("POST", "/book/1", "a1", CLOSE, "order"));
			assertThat(response).startsWith("HTTP/1.1 502 ").doesNotContain("x-seal");
			assertThat(one.hasRequest() && two.hasRequest()).isFalse();
		}
	}

	// Guards against a false 503, after which the caller repeats the request: only a
	// runner's statement that it did not run the request permits one.
	@Example
	void requestThatTheRunnerDidNotRunIsRejectedWithRetryAfter() throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> write(out,
				"HTTP/1.1 503 Busy\r\nx-attempt: a1\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n"));
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			String response = router.exchange(RelayFixture.request("POST", "/book/1", "a1", CLOSE, "order"));
			assertThat(response).startsWith("HTTP/1.1 503 ").containsIgnoringCase("retry-after: 0.");
		}
	}

	@Example
	void runnerErrorIsRelayedWithItsSeal() throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> write(out,
				"HTTP/1.1 500 Error\r\nx-attempt: a1\r\nx-seal: s9\r\nContent-Length: 3\r\n\r\nbad"));
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			String response = router.exchange(RelayFixture.request("POST", "/book/1", "a1", CLOSE, "order"));
			assertThat(response).startsWith("HTTP/1.1 500 ").contains("x-seal: s9").endsWith("bad");
		}
	}

	// Guards against lookups that fail because one runner fails.
	@Example
	void idempotentRequestIsRepeatedAtAnotherRunner() throws IOException {
		BlockingQueue<Boolean> broken = new LinkedBlockingQueue<>(List.of(true));
		ScriptedRunner.Script once = (request, count, socket, out) -> {
			if (broken.poll() != null) {
				reset(socket);
			}
			else {
				write(out, ok(attempt(request), "hello"));
			}
		};
		try (ScriptedRunner one = new ScriptedRunner(once);
				ScriptedRunner two = new ScriptedRunner(once);
				RelayFixture router = new RelayFixture(one, two).withConfiguration()) {
			String response = router.exchange(RelayFixture.request("GET", "/read/1", "a1", CLOSE, ""));
			assertThat(response).startsWith("HTTP/1.1 200 OK").endsWith("hello");
			assertThat(one.hasRequest() && two.hasRequest()).isTrue();
		}
	}

	// Guards against callers who get bytes that are not an answer of the runner:
	// without its signature, with a content encoding, or malformed.
	@Example
	void invalidSuccessIsNotRelayed() throws IOException {
		List<String> damaged = List.of("HTTP/1.1 200 OK\r\nx-attempt: a1\r\nContent-Length: 2\r\n\r\nhi",
				"HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi",
				"\u0000\u0001garbage\r\n\r\n");
		for (String bytes : damaged) {
			try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> write(out, bytes));
					RelayFixture router = new RelayFixture(runner).withConfiguration()) {
				String response = router.exchange(RelayFixture.request("POST", "/book/1", "a1", CLOSE, "order"));
				assertThat(response).startsWith("HTTP/1.1 502 ");
			}
		}
	}

	// Guards against a late response to an earlier request on a reused connection,
	// which would be taken for the answer to the next one.
	@Example
	void responseToAnotherRequestIsSkipped() throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> write(out,
				((count == 1) ? ok("old", "wrong") : "") + ok(attempt(request), "right")));
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			for (int i = 0; i < 3; i++) {
				String response = router.exchange(RelayFixture.request("GET", "/read/1", "a" + i, CLOSE, ""));
				assertThat(response).endsWith("right");
			}
		}
	}

	// Guards against extra bytes after a response that are taken for the response to
	// the next request.
	@Example
	void bytesAfterAResponseReachNoCaller() throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> write(out,
				ok(attempt(request), "right") + "HTTP/1.1 200 OK\r\nx-seal: s\r\nContent-Length: 5\r\n\r\nextra"));
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			for (int i = 0; i < 3; i++) {
				String response = router.exchange(RelayFixture.request("GET", "/read/1", "a" + i, CLOSE, ""));
				assertThat(response).endsWith("right");
			}
		}
	}

	// Guards against a stream that stays incomplete when its runner fails: another
	// runner resumes it after the last complete event.
	@Example
	void brokenStreamContinuesAtAnotherRunnerAfterTheLastWholeEvent() throws IOException {
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			String head = "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s1\r\nContent-Type: text/event-stream\r\n"
					+ "Transfer-Encoding: chunked\r\n\r\n";
			if (request.toLowerCase(Locale.ROOT).contains("last-event-id: 2\r\n")) {
				write(out, head + RelayFixture.chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n");
			}
			else {
				write(out, head + RelayFixture.chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda"));
				reset(socket);
			}
		};
		try (ScriptedRunner one = new ScriptedRunner(script);
				ScriptedRunner two = new ScriptedRunner(script);
				RelayFixture router = new RelayFixture(one, two).withConfiguration()) {
			String response = router.exchange(RelayFixture.request("POST", "/stream/1", "a1", CLOSE, "prompt"));
			assertThat(RelayFixture.events(response)).containsExactly("id: 1\ndata: a", "id: 2\ndata: b",
					"id: 3\ndata: c");
			assertThat(response).endsWith("0\r\n\r\n");
		}
	}

	// Guards against a stream that looks complete although no runner could finish it.
	@Example
	void streamThatCannotContinueIsCutWithoutEnd() throws IOException {
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			write(out, "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s1\r\nContent-Type: text/event-stream\r\n"
					+ "Transfer-Encoding: chunked\r\n\r\n" + RelayFixture.chunk("id: 1\ndata: a\n\n"));
			reset(socket);
		};
		try (ScriptedRunner one = new ScriptedRunner(script);
				ScriptedRunner two = new ScriptedRunner(script);
				RelayFixture router = new RelayFixture(one, two).withConfiguration()) {
			String response = router.exchange(RelayFixture.request("POST", "/stream/1", "a1", CLOSE, "prompt"));
			assertThat(response).doesNotEndWith("0\r\n\r\n");
		}
	}

	// Guards against runners that continue to work for disconnected callers.
	@Example
	void requestIsCancelledWhenTheCallerDisconnects() throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> {
		}); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			try (Socket caller = router.open()) {
				RelayFixture.send(caller, RelayFixture.request("GET", "/read/1", "a1", "", ""));
				runner.next();
			}
			runner.awaitClose();
		}
	}

	// Guards against a starting daemon that answers 404 or 401 to requests that its
	// configuration will allow.
	@Example
	void withoutConfigurationRequestsAreRejectedNotDenied() throws IOException {
		try (RelayFixture router = new RelayFixture()) {
			String response = router.exchange(RelayFixture.request("GET", "/read/1", "a1", CLOSE, ""));
			assertThat(response).startsWith("HTTP/1.1 503 ").containsIgnoringCase("retry-after");
		}
	}

	// Guards against a stream that a stopping daemon accepts late and cuts when it
	// exits: the stream was expected to be short, but its time limit was after the
	// exit.
	@Example
	void stoppingDaemonRejectsWhatMayOutlastIt() throws IOException {
		try (ScriptedRunner runner = echoing(); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			long now = router.millis();
			router.context().startLeaving(new ShutdownSchedule(now - 1, now + 3000), () -> false);
			String request = RelayFixture.request("POST", "/model/1", "a1", CLOSE + "x-tokens: 10,10\r\n", "prompt");
			assertThat(router.exchange(request)).startsWith("HTTP/1.1 503 ");
			assertThat(runner.hasRequest()).isFalse();
		}
	}

	// Guards against requests that are rejected just because they arrive while the
	// daemon starts.
	@Example
	void requestWaitsForTheFirstConfiguration() throws IOException {
		try (ScriptedRunner runner = echoing();
				RelayFixture router = new RelayFixture(runner);
				Socket caller = router.open()) {
			RelayFixture.send(caller, RelayFixture.request("GET", "/read/1", "a1", CLOSE, ""));
			router.withConfiguration();
			assertThat(RelayFixture.readUntil(caller.getInputStream(), "hello")).startsWith("HTTP/1.1 200 ");
		}
	}

	@Example
	void unknownRouteAndUnknownKeyAreDenied() throws IOException {
		try (ScriptedRunner runner = echoing(); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			assertThat(router.exchange(RelayFixture.request("GET", "/none/1", "a1", CLOSE, "")))
				.startsWith("HTTP/1.1 404 ");
			router.context().configure(RelayFixture.table(2, List.of("other")));
			assertThat(router.exchange(RelayFixture.request("GET", "/read/1", "a2", CLOSE, "")))
				.startsWith("HTTP/1.1 401 ");
			assertThat(runner.hasRequest()).isFalse();
		}
	}

	// Guards against a return to an older configuration when an old row is read late.
	@Example
	void olderConfigurationIsIgnored() throws IOException {
		try (ScriptedRunner runner = echoing(); RelayFixture router = new RelayFixture(runner)) {
			router.context().configure(RelayFixture.table(5, List.of("secret")));
			router.context().configure(RelayFixture.table(4, List.of("other")));
			assertThat(router.exchange(RelayFixture.request("GET", "/read/1", "a1", CLOSE, "")))
				.startsWith("HTTP/1.1 200 ");
		}
	}

	// Guards against request smuggling: a second request in the body of the first,
	// behind contradictory framing headers.
	@Example
	void requestWithTwoFramingHeadersReachesTheRunnerAsOne() throws IOException {
		try (ScriptedRunner runner = echoing(); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			String hidden = "GET /read/hidden HTTP/1.1\r\n\r\n";
			String more = CLOSE + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n";
			router.exchange(
					RelayFixture.request("POST", "/read/1", "a1", more, "") + RelayFixture.chunk(hidden) + "0\r\n\r\n");
			String received = runner.next();
			assertThat(received).endsWith(hidden).doesNotContainIgnoringCase("transfer-encoding");
			assertThat(runner.hasRequest()).isFalse();
		}
	}

	// Guards against responses to pipelined requests that are sent in the wrong order.
	@Example
	void pipelinedRequestsAreAnsweredInOrder() throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner(
				(request, count, socket, out) -> write(out, ok(attempt(request), "for " + attempt(request))));
				RelayFixture router = new RelayFixture(runner).withConfiguration();
				Socket caller = router.open()) {
			RelayFixture.send(caller, RelayFixture.request("GET", "/read/1", "a1", "", "")
					+ RelayFixture.request("GET", "/read/2", "a2", "", ""));
			assertThat(RelayFixture.readUntil(caller.getInputStream(), "for a1")).doesNotContain("for a2");
			assertThat(RelayFixture.readUntil(caller.getInputStream(), "for a2")).contains("200 OK");
		}
	}

	// Guards against slots that stay reserved after their requests have ended.
	@Example
	void allSlotsAreFreeAfterDifferentOutcomes() throws Exception {
		ScriptedRunner.Script mixed = (request, count, socket, out) -> {
			switch (attempt(request)) {
				case "a0" -> reset(socket);
				case "a1" -> write(out, "HTTP/1.1 503 Busy\r\nx-not-run: 1\r\nContent-Length: 0\r\n\r\n");
				default -> write(out, ok(attempt(request), "hello"));
			}
		};
		try (ScriptedRunner one = new ScriptedRunner(mixed);
				ScriptedRunner two = new ScriptedRunner(mixed);
				RelayFixture router = new RelayFixture(one, two).withConfiguration()) {
			for (int i = 0; i < 4; i++) {
				router.exchange(RelayFixture.request("GET", "/read/1", "a" + i, CLOSE, ""));
			}
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
			while (!router.loadTracker().ownLoads().isEmpty() && System.nanoTime() < end) {
				Thread.onSpinWait();
			}
			assertThat(router.loadTracker().ownLoads()).isEmpty();
			assertThat(router.context().activeCount()).isZero();
		}
	}

	// Guards against a connection that is closed without an answer because of an error in
	// this daemon.
	@Example
	void requestIsAnsweredAfterAnInternalError() throws IOException {
		try (ScriptedRunner runner = echoing();
				RelayFixture router = new RelayFixture(runner).withConfiguration().withFailingPools()) {
			assertThat(router.exchange(RelayFixture.request("POST", "/book/1", "a1", CLOSE, "order")))
				.startsWith("HTTP/1.1 502 ");
			assertThat(router.loadTracker().ownLoads()).isEmpty();
		}
	}

	// Guards against a request whose declared size makes the load of runners negative.
	@Example
	void hugeTokenCountsAreNotTakenForASmallRequest() throws IOException {
		try (ScriptedRunner runner = echoing(); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			String more = CLOSE + "x-tokens: 2147483647,2147483647\r\nx-hint: 2147483647\r\n";
			assertThat(router.exchange(RelayFixture.request("POST", "/model/1", "a1", more, "prompt")))
				.startsWith("HTTP/1.1 503 ");
			assertThat(runner.hasRequest()).isFalse();
		}
	}

	// Guards against a lookup that waits for a runner that it has not tried yet, although
	// its service has no other.
	@Example
	void idempotentRequestIsRepeatedAtTheOnlyRunner() throws IOException {
		BlockingQueue<Boolean> broken = new LinkedBlockingQueue<>(List.of(true));
		try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> {
			if (broken.poll() != null) {
				reset(socket);
			}
			else {
				write(out, ok(attempt(request), "hello"));
			}
		}); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			String response = router.exchange(RelayFixture.request("GET", "/read/1", "a1", CLOSE, ""));
			assertThat(response).startsWith("HTTP/1.1 200 OK").endsWith("hello");
		}
	}

}
