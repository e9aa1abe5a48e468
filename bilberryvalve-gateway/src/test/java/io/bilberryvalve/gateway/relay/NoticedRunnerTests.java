package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.gateway.http.UpstreamCall;
import io.bilberryvalve.gateway.http.UpstreamListener;
import io.bilberryvalve.gateway.http.UpstreamPool;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.MonotonicClock;
import io.bilberryvalve.policy.path.RunnerLoad;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import net.jqwik.api.Example;
import org.assertj.core.api.SoftAssertions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of runners that say in their responses that they leave, or that they want no
 * requests for some time.
 */
class NoticedRunnerTests {

	private static final String CLOSE = "Connection: close\r\n";

	private static final String LEAVING = "x-leaving: 1\r\n";

	private static final List<String> PATHS = List.of("/read/1", "/book/1", "/stream/1", "/model/1");

	private static String attempt(String request) {
		int at = request.indexOf("x-attempt: ") + 11;
		return request.substring(at, request.indexOf('\r', at));
	}

	private static String answer(String attempt, String more) {
		return "HTTP/1.1 200 OK\r\nx-attempt: " + attempt + "\r\nx-seal: s1\r\n" + more
				+ "Content-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 1\ndata: ab\n\n";
	}

	private static String refusal(String attempt, String more) {
		return "HTTP/1.1 503 Full\r\nx-attempt: " + attempt + "\r\nx-not-run: 1\r\n" + more
				+ "Content-Length: 4\r\n\r\nbusy";
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static ScriptedRunner leavingRunner() {
		return new ScriptedRunner((request, count, socket, out) -> write(out, answer(attempt(request), LEAVING)));
	}

	// A runner that refuses its first request for a time in seconds and answers others.
	private static ScriptedRunner pausingRunner(String seconds) {
		return new ScriptedRunner((request, count, socket, out) -> write(out, attempt(request).equals("a0")
				? refusal("a0", "Retry-After: " + seconds + "\r\n") : answer(attempt(request), "")));
	}

	private static String exchange(RelayFixture router, String path, String attempt) throws IOException {
		return router.exchange(RelayFixture.request("POST", path, attempt, CLOSE, "body"));
	}

	// Guards against requests to a runner that has said that it leaves, while the list of
	// runners does not say so.
	@Example
	void leavingRunnerGetsNoFurtherRequests() throws IOException {
		SoftAssertions softly = new SoftAssertions();
		for (String path : PATHS) {
			try (ScriptedRunner runner = leavingRunner();
					RelayFixture router = new RelayFixture(runner).withConfiguration()) {
				softly.assertThat(exchange(router, path, "a0")).as(path).startsWith("HTTP/1.1 200 ");
				runner.next();
				softly.assertThat(exchange(router, path, "a1"))
					.as(path)
					.startsWith("HTTP/1.1 503 ")
					.containsIgnoringCase("retry-after: ");
				router.listRunners(1, runner);
				softly.assertThat(exchange(router, path, "a2")).as("listed again, " + path).startsWith("HTTP/1.1 503 ");
				softly.assertThat(runner.hasRequest()).as(path).isFalse();
				router.listRunners(2, runner);
				softly.assertThat(exchange(router, path, "a3")).as("restarted, " + path).startsWith("HTTP/1.1 200 ");
			}
		}
		softly.assertAll();
	}

	// Guards against a notice that is lost because the response around it is of no use.
	@Example
	void noticeCountsInAnyResponse() throws IOException {
		List<String> responses = List.of("HTTP/1.1 500 Error\r\nx-seal: s1\r\n" + LEAVING + "Content-Length: 0\r\n\r\n",
				"HTTP/1.1 200 OK\r\n" + LEAVING + "Content-Length: 0\r\n\r\n", refusal("a0", LEAVING),
				answer("other", LEAVING) + answer("a0", ""),
				"HTTP/1.1 200 OK\r\nx-seal: s1\r\n" + LEAVING + "Content-Length: 9\r\n\r\ncut");
		SoftAssertions softly = new SoftAssertions();
		for (String response : responses) {
			ScriptedRunner.Script script = (request, count, socket, out) -> {
				write(out, response);
				socket.close();
			};
			try (ScriptedRunner runner = new ScriptedRunner(script);
					RelayFixture router = new RelayFixture(runner).withConfiguration()) {
				exchange(router, "/book/1", "a0");
				runner.next();
				softly.assertThat(exchange(router, "/book/1", "a1")).as(response).startsWith("HTTP/1.1 503 ");
				softly.assertThat(runner.hasRequest()).as(response).isFalse();
			}
		}
		softly.assertAll();
	}

	// Guards against requests to an overloaded runner that has asked for a pause, and
	// against callers that are held although no other runner is left.
	@Example
	void pausedRunnerGetsNoRequestsUntilThePauseEnds() throws IOException {
		SoftAssertions softly = new SoftAssertions();
		for (String path : PATHS) {
			try (ScriptedRunner runner = pausingRunner("60.5");
					RelayFixture router = new RelayFixture(runner).withConfiguration()) {
				String refused = exchange(router, path, "a0");
				softly.assertThat(refused).as(path).startsWith("HTTP/1.1 503 ");
				softly.assertThat(retryAfterSeconds(refused)).as(path).isBetween(50.0, 95.0);
				runner.next();
				long start = router.millis();
				String rejected = exchange(router, path, "a1");
				softly.assertThat(rejected).as(path).startsWith("HTTP/1.1 503 ");
				softly.assertThat(retryAfterSeconds(rejected)).as(path).isBetween(50.0, 95.0);
				softly.assertThat(router.millis() - start).as("time held, " + path).isLessThan(1000);
				softly.assertThat(runner.hasRequest()).as(path).isFalse();
				router.dispatchAfter(Duration.ofSeconds(61));
				softly.assertThat(exchange(router, path, "a2")).as(path).startsWith("HTTP/1.1 200 ");
			}
		}
		softly.assertAll();
	}

	private static double retryAfterSeconds(String response) {
		String lower = response.toLowerCase(Locale.ROOT);
		int at = lower.indexOf("retry-after: ");
		return (at < 0) ? -1 : Double.parseDouble(response.substring(at + 13, response.indexOf('\r', at)));
	}

	// Guards against the use of a paused runner because earlier attempts have excluded
	// all others.
	@Example
	void requestIsRepeatedElsewhereWhileARunnerIsPaused() throws IOException {
		try (ScriptedRunner pausing = pausingRunner("60");
				ScriptedRunner other = pausingRunner("60");
				RelayFixture router = new RelayFixture(pausing, other).withConfiguration()) {
			assertThat(exchange(router, "/read/1", "a0")).startsWith("HTTP/1.1 503 ");
			pausing.next();
			other.next();
			assertThat(exchange(router, "/read/1", "a1")).startsWith("HTTP/1.1 503 ");
			assertThat(pausing.hasRequest() || other.hasRequest()).isFalse();
		}
	}

	// Guards against requests that reach a paused runner late, because their connections
	// were opened slowly.
	@Example
	void requestIsNotSentIfAPauseBeginsWhileItsConnectionOpens() throws IOException {
		AtomicInteger asked = new AtomicInteger();
		CompletableFuture<Boolean> sent = new CompletableFuture<>();
		UpstreamListener listener = new UpstreamListener() {

			@Override
			public boolean maySend() {
				return asked.getAndIncrement() == 0;
			}

			@Override
			public void onHead(HttpResponse head) {
			}

			@Override
			public void onContent(ByteBuf content) {
			}

			@Override
			public void onEnd() {
			}

			@Override
			public void onFailure(boolean wasSent, String reason) {
				sent.complete(wasSent);
			}

		};
		try (ScriptedRunner runner = leavingRunner(); Transport transport = new Transport(1)) {
			EventLoop loop = transport.next();
			UpstreamPool pool = new UpstreamPool(transport, loop, new MonotonicClock());
			UpstreamCall call = new UpstreamCall(HttpMethod.GET, "/", new DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER,
					false, null, listener);
			loop.execute(() -> pool.send(runner.address(), call));
			assertThat(sent.join()).isFalse();
			runner.awaitClose();
			assertThat(runner.hasRequest()).isFalse();
			assertThat(asked).hasValue(2);
		}
	}

	// Guards against a waiting request that is held until its limit although the last
	// runner has asked for a long pause meanwhile.
	@Example
	void waitingRequestIsRejectedWhenTheLastRunnerPauses() throws IOException {
		try (ScriptedRunner runner = pausingRunner("60");
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			router.loadTracker()
				.applyReport("other-daemon", Map.of(new RunnerId("runner-0"), new RunnerLoad(4, 0, 4, 0)));
			try (Socket caller = router.open()) {
				RelayFixture.send(caller, RelayFixture.request("POST", "/read/1", "a1", CLOSE, "body"));
				router.awaitActive(1);
				router.context()
					.recordNotice(
							router.context().fleetRegistry().snapshot().find(new RunnerId("runner-0")).orElseThrow(),
							new RunnerNotice(false, 60_000));
				router.dispatchAfter(Duration.ofMillis(100));
				String rejected = RelayFixture.readUntil(caller.getInputStream(), "\r\n\r\n");
				assertThat(rejected).startsWith("HTTP/1.1 503 ");
				assertThat(retryAfterSeconds(rejected)).isBetween(50.0, 95.0);
			}
		}
	}

	@Example
	void shortPauseIsWaitedFor() throws IOException {
		try (ScriptedRunner runner = pausingRunner("0.4");
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			router.startDispatching();
			exchange(router, "/read/1", "a0");
			assertThat(exchange(router, "/read/1", "a1")).startsWith("HTTP/1.1 200 ");
		}
	}

}
