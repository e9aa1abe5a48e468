package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against failed requests that cannot be explained from the log: the lines of each
 * kind of failure are found by the identifier of the request and name its cause.
 */
class RelayLogTests {

	private static final String CLOSE = "Connection: close\r\n";

	private final CapturedLog lines = new CapturedLog();

	private List<String> logDuring(Scenario check) throws IOException {
		Logger logger = Logger.getLogger("io.bilberryvalve.gateway");
		logger.addHandler(this.lines);
		try {
			check.run();
			// The router writes the line shortly after the response.
			long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
			while (this.lines.all.stream().noneMatch((line) -> line.startsWith("event=request-ended"))
					&& System.nanoTime() < end) {
				Thread.onSpinWait();
			}
		}
		finally {
			logger.removeHandler(this.lines);
		}
		return this.lines.all;
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static String findLine(List<String> lines, String event, String request) {
		return lines.stream()
			.filter((line) -> line.startsWith("event=" + event) && line.contains("request=" + request))
			.findFirst()
			.orElseThrow(() -> new AssertionError("no " + event + " of " + request + " in " + lines));
	}

	@Example
	void rejectedRequestNamesTheReasonAndTheStateOfTheFleet() throws IOException {
		List<String> log = logDuring(() -> {
			try (RelayFixture router = new RelayFixture().withConfiguration()) {
				router.exchange(RelayFixture.request("GET", "/read/1", "log1", CLOSE, ""));
			}
		});
		assertThat(findLine(log, "request-ended", "log1")).contains("status=503", "reason=\"no place at the runners\"",
				"configuration=1", "fleet-age=0", "retry-after=");
	}

	@Example
	void cutStreamNamesTheRunnerTheReasonAndTheLastEvent() throws IOException {
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			write(out, "HTTP/1.1 200 OK\r\nx-attempt: log2\r\nx-seal: s1\r\nContent-Type: text/event-stream\r\n"
					+ "Transfer-Encoding: chunked\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n");
			socket.setSoLinger(true, 0);
			socket.close();
		};
		List<String> log = logDuring(() -> {
			try (ScriptedRunner one = new ScriptedRunner(script);
					ScriptedRunner two = new ScriptedRunner(script);
					RelayFixture router = new RelayFixture(one, two).withConfiguration()) {
				router.exchange(RelayFixture.request("POST", "/stream/1", "log2", CLOSE, "prompt"));
			}
		});
		assertThat(findLine(log, "attempt-failed", "log2")).contains("runners=[runner-", "repeat=true");
		assertThat(findLine(log, "request-ended", "log2")).contains("status=0", "sends=2", "reason=");
	}

	@Example
	void misroutedRequestNamesTheRunnerThatRefusedIt() throws IOException {
		List<String> log = logDuring(() -> {
			try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> write(out,
					"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n"));
					RelayFixture router = new RelayFixture(runner).withConfiguration()) {
				router.exchange(RelayFixture.request("POST", "/book/1", "log3", CLOSE, "order"));
			}
		});
		assertThat(findLine(log, "attempt-failed", "log3")).contains("runners=[runner-0]", "not run by the runner");
		assertThat(findLine(log, "request-ended", "log3")).contains("status=503");
		assertThat(log).anyMatch((line) -> line.startsWith("event=runner-avoided runner=runner-0")
				&& line.contains("refused a request with 421"));
	}

	/** Collects the log lines of a scenario. */
	private static final class CapturedLog extends Handler {

		private final List<String> all = new CopyOnWriteArrayList<>();

		@Override
		public void publish(LogRecord line) {
			this.all.add(line.getMessage());
		}

		@Override
		public void flush() {
		}

		@Override
		public void close() {
		}

	}

	/** Sends the requests whose log lines are checked. */
	interface Scenario {

		/**
		 * Sends the requests and waits for their responses.
		 * @throws IOException if a connection fails
		 */
		void run() throws IOException;

	}

}
