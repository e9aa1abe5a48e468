package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.report.UnansweredCause;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of runners that are silent for longer than a stall takes to be detected, and then
 * go on.
 */
class SilentRunnerTests {

	private static final String CLOSE = "Connection: close\r\n";

	private static final String HEAD = "HTTP/1.1 200 OK\r\nx-seal: s1\r\nContent-Type: text/event-stream\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n";

	private static final String FIRST_EVENTS = RelayFixture.chunk("id: 1\ndata: a\n\n")
			+ RelayFixture.chunk("id: 2\ndata: b\n\n");

	private static final String LAST_EVENT = RelayFixture.chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n";

	private static final String NOT_RUN = "HTTP/1.1 503 Busy\r\nx-attempt: a1\r\nx-not-run: 1\r\n"
			+ "Content-Length: 0\r\n\r\n";

	private static final String ANSWER = "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s1\r\n"
			+ "Content-Length: 5\r\n\r\nfirst";

	private static final long TIMEOUT_SECONDS = 10;

	private final CountDownLatch goOn = new CountDownLatch(1);

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static void await(CountDownLatch latch) throws IOException {
		try {
			if (!latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				throw new IOException("the runner was not told to go on");
			}
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	private static CompletableFuture<StallProbe.ProbeResult> noReport(ListedRunner first) {
		return CompletableFuture.completedFuture(new StallProbe.ProbeResult(false, List.of()));
	}

	// Writes the first part of a response, is silent until it is told to go on, and
	// writes the rest.
	private ScriptedRunner.Script pausing(String before, String after) {
		return (request, count, socket, out) -> {
			write(out, before);
			await(this.goOn);
			write(out, after);
		};
	}

	private static String streamRequest() {
		return RelayFixture.request("POST", "/model/1", "a1", CLOSE, "prompt");
	}

	private static void assertWholeStream(String response) {
		assertThat(RelayFixture.events(response)).containsExactly("id: 1\ndata: a", "id: 2\ndata: b", "id: 3\ndata: c");
		assertThat(response).endsWith("0\r\n\r\n");
	}

	// Guards against a stream that is cut because its engine was silent for a second
	// while no other engine could continue it.
	@Example
	void streamIsNotCutWhenNoOtherEngineIsFree() throws IOException {
		BlockingQueue<Boolean> probes = new LinkedBlockingQueue<>();
		try (ScriptedRunner engine = new ScriptedRunner(pausing(HEAD + FIRST_EVENTS, LAST_EVENT));
				RelayFixture router = new RelayFixture(engine).withConfiguration().withStallProbe((first) -> {
					if (probes.add(true) && probes.size() == 3) {
						this.goOn.countDown();
					}
					return noReport(first);
				})) {
			router.startProgressChecks();
			assertWholeStream(router.exchange(streamRequest()));
		}
	}

	// Guards against a stream that is cut because the engine that should continue it
	// refuses, although the silent one goes on.
	@Example
	void streamIsNotCutWhenTheSecondEngineRefuses() throws IOException {
		ScriptedRunner.Script refusing = (request, count, socket, out) -> {
			write(out, NOT_RUN);
			this.goOn.countDown();
		};
		try (ScriptedRunner engine = new ScriptedRunner(pausing(HEAD + FIRST_EVENTS, LAST_EVENT));
				ScriptedRunner other = new ScriptedRunner(refusing);
				RelayFixture router = new RelayFixture(engine).withConfiguration()
					.withStallProbe(SilentRunnerTests::noReport);
				Socket caller = router.open()) {
			RelayFixture.send(caller, streamRequest());
			engine.next();
			router.addEngine("engine-2", other);
			router.startProgressChecks();
			assertWholeStream(RelayFixture.readUntil(caller.getInputStream(), "0\r\n\r\n"));
			other.next();
		}
	}

	// Guards against a stream that ends with 502 before its first event, because the
	// second engine broke off while the first one was only slow to begin.
	@Example
	void streamThatHasNotBegunIsAnsweredByTheSilentEngine() throws IOException {
		ScriptedRunner.Script breaking = (request, count, socket, out) -> {
			socket.close();
			this.goOn.countDown();
		};
		try (ScriptedRunner engine = new ScriptedRunner(pausing("", HEAD + FIRST_EVENTS + LAST_EVENT));
				ScriptedRunner other = new ScriptedRunner(breaking);
				RelayFixture router = new RelayFixture(engine).withConfiguration()
					.withStallProbe(SilentRunnerTests::noReport);
				Socket caller = router.open()) {
			RelayFixture.send(caller, streamRequest());
			engine.next();
			router.addEngine("engine-2", other);
			router.startProgressChecks();
			assertWholeStream(RelayFixture.readUntil(caller.getInputStream(), "0\r\n\r\n"));
			other.next();
		}
	}

	// Guards against two engines that both write to one stream: the first one to go on
	// keeps it, and the other is cancelled.
	@Example
	void streamContinuesAtOneEngineOnly() throws IOException {
		ScriptedRunner.Script continuing = (request, count, socket, out) -> write(out, HEAD + LAST_EVENT);
		try (ScriptedRunner engine = new ScriptedRunner(pausing(HEAD + FIRST_EVENTS, LAST_EVENT));
				ScriptedRunner other = new ScriptedRunner(continuing);
				RelayFixture router = new RelayFixture(engine).withConfiguration()
					.withStallProbe(SilentRunnerTests::noReport);
				Socket caller = router.open()) {
			RelayFixture.send(caller, streamRequest());
			engine.next();
			router.addEngine("engine-2", other);
			router.startProgressChecks();
			String response = RelayFixture.readUntil(caller.getInputStream(), "0\r\n\r\n");
			this.goOn.countDown();
			engine.awaitClose();
			assertWholeStream(response);
		}
	}

	// Guards against a lookup that ends with 502 because its second runner broke off,
	// although the first one was only slow.
	@Example
	void lookupIsAnsweredByTheSilentRunner() throws IOException {
		BlockingQueue<Boolean> second = new LinkedBlockingQueue<>();
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			if (second.isEmpty() && second.add(true)) {
				await(this.goOn);
				write(out, ANSWER);
			}
			else {
				socket.close();
				this.goOn.countDown();
			}
		};
		try (ScriptedRunner one = new ScriptedRunner(script);
				ScriptedRunner two = new ScriptedRunner(script);
				RelayFixture router = new RelayFixture(one, two).withConfiguration()) {
			router.startProgressChecks();
			String response = router.exchange(RelayFixture.request("GET", "/quick/1", "a1", CLOSE, ""));
			assertThat(response).startsWith("HTTP/1.1 200 ").endsWith("first");
		}
	}

	// Guards against a booking that runs twice, or is given up, because its runner was
	// silent.
	@Example
	void bookingWaitsForItsSilentRunner() throws IOException {
		try (ScriptedRunner one = new ScriptedRunner(pausing("", ANSWER));
				RelayFixture router = new RelayFixture(one, one).withConfiguration();
				Socket caller = router.open()) {
			RelayFixture.send(caller, RelayFixture.request("POST", "/quick-book/1", "a1", CLOSE, "order"));
			one.next();
			router.checkProgressAfter(Duration.ofMillis(1500));
			this.goOn.countDown();
			assertThat(RelayFixture.readUntil(caller.getInputStream(), "first")).startsWith("HTTP/1.1 200 ");
			assertThat(one.hasRequest()).isFalse();
		}
	}

	// Guards against an answer that is lost to a silent runner without a trace in the
	// metrics.
	@Example
	void unansweredRequestsAreCountedByCause() throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> socket.close());
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			router.exchange(RelayFixture.request("POST", "/book/1", "a1", CLOSE, "order"));
			assertThat(router.context().metrics().toPrometheusText()).contains(
					"bilberryvalve_unanswered_requests_total{cause=\"" + UnansweredCause.RUNNER.label() + "\"} 1");
		}
	}

}
