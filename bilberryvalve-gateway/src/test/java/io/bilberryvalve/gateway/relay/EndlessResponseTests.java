package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
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
		String head = "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s\r\nContent-Type: text/event-stream\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n";
		try (ScriptedRunner runner = new ScriptedRunner(endless(head, RelayFixture.chunk("x".repeat(1024))));
				RelayFixture router = new RelayFixture(runner).withConfiguration();
				Socket caller = router.open()) {
			RelayFixture.send(caller, RelayFixture.request("POST", "/stream/1", "a1", CLOSE, "question"));
			runner.awaitClose();
			assertThat(this.sent.get()).isLessThanOrEqualTo(MOST_BYTES);
		}
	}

}
