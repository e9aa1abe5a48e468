package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.bilberryvalve.gateway.http.HttpClient;
import io.bilberryvalve.gateway.http.HttpResult;
import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.gateway.http.UpstreamPool;
import io.bilberryvalve.model.clock.MonotonicClock;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpMethod;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class EndlessResponseTests {

	/**
	 * Bytes after which a runner must find its connection closed; the largest body that
	 * is kept, and what the buffers of two sockets hold.
	 */
	private static final long MOST_BYTES = 32L << 20;

	private static final Duration LONG = Duration.ofMinutes(1);

	private static final String CLOSE = "Connection: close\r\n";

	private static final String STREAM_HEAD = "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s\r\n"
			+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

	private final AtomicLong sent = new AtomicLong();

	// Writes a beginning and then the same bytes again and again, until the router closes
	// the connection.
	private ScriptedRunner.Script endless(String beginning, String repeated) {
		byte[] bytes = repeated.repeat(Math.max(1, 8192 / repeated.length())).getBytes(StandardCharsets.ISO_8859_1);
		return (request, count, socket, out) -> {
			write(out, beginning);
			while (this.sent.addAndGet(bytes.length) <= MOST_BYTES) {
				out.write(bytes);
			}
			throw new AssertionError("the router still reads after " + MOST_BYTES + " bytes");
		};
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private void assertAnswered(String beginning, String repeated, String status) throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner(endless(beginning, repeated));
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			long start = router.millis();
			assertThat(router.exchange(RelayFixture.request("POST", "/book/1", "a1", CLOSE, "order")))
				.startsWith("HTTP/1.1 " + status);
			runner.awaitClose();
			assertThat(router.millis() - start).isLessThan(4000);
			assertThat(this.sent.get()).isLessThanOrEqualTo(MOST_BYTES);
		}
	}

	// Guards against a runner that never ends the head of its response.
	@Example
	void endlessHeadEndsTheAttempt() throws IOException {
		assertAnswered("HTTP/1.1 200 OK\r\n", "x-more: 1\r\n", "502");
	}

	// Guards against bytes that are no response, and that a lenient decoder skips.
	@Example
	void endlessBytesBeforeTheHeadEndTheAttempt() throws IOException {
		assertAnswered("", "\r\n ", "502");
	}

	// Guards against preliminary responses without a final one.
	@Example
	void endlessPreliminaryResponsesEndTheAttempt() throws IOException {
		assertAnswered("", "HTTP/1.1 103 Early Hints\r\n\r\n", "502");
	}

	// Guards against late responses to another request that never end.
	@Example
	void endlessResponseToAnotherAttemptEndsTheAttempt() throws IOException {
		assertAnswered("HTTP/1.1 200 OK\r\nx-attempt: other\r\nTransfer-Encoding: chunked\r\n\r\n",
				RelayFixture.chunk("x".repeat(1024)), "502");
	}

	// Guards against a rejection that is not passed on because its body does not end.
	@Example
	void endlessRejectionIsNotRun() throws IOException {
		assertAnswered("HTTP/1.1 503 Full\r\nx-attempt: a1\r\nx-not-run: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
				RelayFixture.chunk("x".repeat(1024)), "503");
	}

	// Guards against a client of short calls that stops waiting but goes on reading.
	@Example
	void endlessBodyEndsAShortCall() throws IOException {
		String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
		try (ScriptedRunner runner = new ScriptedRunner(endless(head, RelayFixture.chunk("x".repeat(1024))));
				Transport transport = new Transport(1)) {
			EventLoop loop = transport.next();
			HttpClient client = new HttpClient(new UpstreamPool(transport, loop, new MonotonicClock()));
			HttpResult result = client.call(runner.address(), HttpMethod.GET, "/", new byte[0], null, LONG).join();
			assertThat(result).isInstanceOf(HttpResult.Failed.class);
			runner.awaitClose();
			assertThat(this.sent.get()).isLessThanOrEqualTo(MOST_BYTES);
		}
	}

	// Guards against a caller that is kept waiting by a stream without events.
	@Example
	void endlessEventEndsTheAttempt() throws IOException {
		assertStreamIsAbandoned(endless(STREAM_HEAD, RelayFixture.chunk("x".repeat(1024))));
	}

	private static String event(long id) {
		return RelayFixture.chunk("id: " + id + "\ndata: piece\n\n");
	}

	private void assertStreamIsAbandoned(ScriptedRunner.Script script) throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner(script);
				RelayFixture router = new RelayFixture(runner).withConfiguration();
				Socket caller = router.open()) {
			RelayFixture.send(caller, RelayFixture.request("POST", "/stream/1", "a1", CLOSE, "question"));
			runner.awaitClose();
			assertThat(this.sent.get()).isLessThanOrEqualTo(MOST_BYTES);
		}
	}

	// Guards against an event loop that is held by events which the caller already has:
	// nothing is written, so that nothing slows the runner down.
	@Example
	void endlessRepetitionOfAnEventEndsTheAttempt() throws IOException {
		assertStreamIsAbandoned(endless(STREAM_HEAD + event(1), event(1)));
	}

	@Example
	void endlessEventsBeforeTheLastOneEndTheAttempt() throws IOException {
		assertStreamIsAbandoned((request, count, socket, out) -> {
			write(out, STREAM_HEAD + event(1));
			for (long id = -1_000_000_000; this.sent.get() <= MOST_BYTES; id++) {
				byte[] bytes = event(id).getBytes(StandardCharsets.ISO_8859_1);
				this.sent.addAndGet(bytes.length);
				out.write(bytes);
			}
			throw new AssertionError("the router still reads after " + MOST_BYTES + " bytes");
		});
	}

	// Guards against a caller that waits until its time limit for a runner that sends
	// only events which the caller has.
	@Example
	void repeatedEventsAreNoProgress() throws IOException {
		CountDownLatch closed = new CountDownLatch(1);
		ScriptedRunner.Script repeating = (request, count, socket, out) -> {
			write(out, STREAM_HEAD + event(1));
			for (long id = -1000; closed.getCount() > 0; id++) {
				String next = event(id);
				write(out, next.substring(0, next.length() / 2));
				awaitMillis(closed, 5);
				write(out, next.substring(next.length() / 2));
				awaitMillis(closed, 5);
			}
		};
		ScriptedRunner.Script continuing = (request, count, socket, out) -> write(out,
				STREAM_HEAD + event(2) + "0\r\n\r\n");
		ScriptedRunner.Script script = (request, count, socket,
				out) -> (request.contains("last-event-id: 1") ? continuing : repeating).answer(request, count, socket,
						out);
		try (ScriptedRunner one = new ScriptedRunner(script);
				ScriptedRunner two = new ScriptedRunner(script);
				RelayFixture router = new RelayFixture(one, two).withConfiguration()) {
			router.startProgressChecks();
			router.startDispatching();
			long start = router.millis();
			String answer = router.exchange(RelayFixture.request("POST", "/stream/1", "a1", CLOSE, "question"));
			closed.countDown();
			assertThat(answer).contains("id: 2").endsWith("0\r\n\r\n");
			assertThat(router.millis() - start).isLessThan(4000);
		}
	}

	private static void awaitMillis(CountDownLatch latch, long millis) throws IOException {
		try {
			latch.await(millis, TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	// Guards against an event loop that is held by a stream which a caller reads as fast
	// as it is sent.
	@Example
	void endlessStreamIsRelayedAtALimitedRate() throws IOException {
		ScriptedRunner.Script streaming = (request, count, socket, out) -> {
			write(out, STREAM_HEAD);
			for (long id = 1; !socket.isClosed(); id += 100) {
				StringBuilder events = new StringBuilder();
				for (int i = 0; i < 100; i++) {
					events.append(event(id + i));
				}
				write(out, events.toString());
			}
		};
		try (ScriptedRunner runner = new ScriptedRunner(streaming);
				RelayFixture router = new RelayFixture(runner).withConfiguration();
				Socket caller = router.open()) {
			RelayFixture.send(caller, RelayFixture.request("POST", "/stream/1", "a1", CLOSE, "question"));
			long start = router.millis();
			long length = 0;
			byte[] bytes = new byte[1 << 16];
			while (router.millis() - start < 1500) {
				length += caller.getInputStream().read(bytes);
			}
			long events = length / event(1000).length();
			assertThat(events).isLessThan((router.millis() - start) * 5 + 2000);
		}
	}

	// Guards against partial events of many streams that fill the memory together.
	@Example
	void partialEventsOfManyStreamsAreLimitedTogether() throws IOException {
		CountDownLatch end = new CountDownLatch(1);
		ScriptedRunner.Script partial = (request, count, socket, out) -> {
			if (request.startsWith("GET /read/")) {
				write(out, "HTTP/1.1 200 OK\r\nx-seal: s\r\nContent-Length: 2\r\n\r\nok");
				return;
			}
			write(out, STREAM_HEAD.replace("x-attempt: a1\r\n", "") + RelayFixture.chunk("x".repeat(700_000)));
			awaitMillis(end, LONG.toMillis());
		};
		List<Socket> callers = new ArrayList<>();
		try (ScriptedRunner runner = new ScriptedRunner(partial);
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			ResponseMemory memory = router.context().responseMemory();
			for (int i = 0; i < 60; i++) {
				Socket caller = router.open();
				callers.add(caller);
				RelayFixture.send(caller,
						RelayFixture.request("POST", "/model/1", "a" + i, CLOSE + "x-tokens: 10,10\r\n", "question"));
			}
			long start = router.millis();
			while (memory.countedBytes() < 20L << 20 && router.millis() - start < 3500) {
				Thread.onSpinWait();
			}
			assertThat(memory.countedBytes()).isBetween(20L << 20, 25L << 20);
			assertThat(router.exchange(RelayFixture.request("GET", "/read/1", "order", CLOSE, "")))
				.startsWith("HTTP/1.1 200");
			assertThat(memory.countedBytes()).isLessThanOrEqualTo(25L << 20);
		}
		finally {
			end.countDown();
			for (Socket caller : callers) {
				caller.close();
			}
		}
	}

}
