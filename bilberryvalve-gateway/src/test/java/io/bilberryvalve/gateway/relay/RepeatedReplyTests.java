package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.gateway.http.HttpClient;
import io.bilberryvalve.gateway.http.HttpResult;
import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.gateway.http.UpstreamPool;
import io.bilberryvalve.model.clock.MonotonicClock;
import io.netty.handler.codec.http.HttpMethod;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of short calls to a runner that writes an earlier response once more.
 */
class RepeatedReplyTests {

	private static final int MAX_BODY_BYTES = 1024;

	private static final Duration LONG = Duration.ofMinutes(1);

	private static final long TIMEOUT_SECONDS = 10;

	private final Transport transport = new Transport(1);

	private final HttpClient client = new HttpClient(
			new UpstreamPool(this.transport, this.transport.next(), new MonotonicClock()), MAX_BODY_BYTES);

	private static String reply(String body) {
		return "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static String body(HttpResult result) {
		assertThat(result).isInstanceOf(HttpResult.Response.class);
		return new String(((HttpResult.Response) result).body(), StandardCharsets.ISO_8859_1);
	}

	private String report(ScriptedRunner runner) {
		return body(this.client.call(runner.address(), HttpMethod.GET, "/report", new byte[0], null, LONG).join());
	}

	private String order(ScriptedRunner runner) {
		return body(this.client
			.callOnNewConnection(runner.address(), HttpMethod.POST, "/order", new byte[] { '{', '}' },
					"application/json", LONG)
			.join());
	}

	// Guards against a report that is taken for the response to an order.
	@Example
	void orderUsesANewConnection() throws IOException {
		try (this.transport;
				ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> write(out,
						(request.startsWith("POST") && count == 0) ? reply("done") : reply("report")))) {
			assertThat(report(runner)).isEqualTo("report");
			assertThat(order(runner)).isEqualTo("done");
		}
	}

	// Guards against the response to an order that is taken for a report.
	@Example
	void connectionOfAnOrderIsNotKept() throws IOException {
		try (this.transport;
				ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> write(out,
						(count == 0) ? reply(request.startsWith("POST") ? "done" : "report") : reply("done")))) {
			assertThat(order(runner)).isEqualTo("done");
			runner.awaitClose();
			assertThat(report(runner)).isEqualTo("report");
		}
	}

	// Guards against a repeated report whose first bytes arrive before the next call and
	// are taken for the beginning of its response.
	@Example
	void bytesBetweenTwoCallsCloseTheConnection() throws IOException {
		CountDownLatch received = new CountDownLatch(1);
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			boolean first = received.getCount() > 0;
			write(out, reply("report"));
			if (first) {
				await(received);
				write(out, "HTTP/1.1 20");
			}
		};
		try (this.transport; ScriptedRunner runner = new ScriptedRunner(script)) {
			assertThat(report(runner)).isEqualTo("report");
			received.countDown();
			runner.awaitClose();
			assertThat(report(runner)).isEqualTo("report");
		}
	}

	private static void await(CountDownLatch latch) throws IOException {
		try {
			if (!latch.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
				throw new IOException("the report was not received");
			}
		}
		catch (InterruptedException ex) {
			throw new IOException(ex);
		}
	}

	// Guards against a new connection for each report.
	@Example
	void reportsShareAConnection() throws IOException {
		try (this.transport;
				ScriptedRunner runner = new ScriptedRunner(
						(request, count, socket, out) -> write(out, reply(Integer.toString(count))))) {
			assertThat(report(runner)).isEqualTo("0");
			assertThat(report(runner)).isEqualTo("1");
		}
	}

}
