package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.membership.ShutdownSchedule;
import io.bilberryvalve.policy.path.RunnerLoad;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of requests that are in progress when a daemon stops.
 */
class ShutdownTests {

	private static final RunnerLoad FULL = new RunnerLoad(1000, 1L << 40, 1000, 0);

	private static final int TIMEOUT_MILLIS = 2000;

	private static Socket ask(RelayFixture router, String path) throws IOException {
		Socket caller = router.open();
		caller.setSoTimeout(TIMEOUT_MILLIS);
		RelayFixture.send(caller, RelayFixture.request("POST", path, "a1", "", "prompt"));
		return caller;
	}

	// Guards against a request that waits for a slot and whose connection closes without
	// an answer when the daemon stops.
	@Example
	void waitingRequestIsRejectedWhenTheDaemonStops() throws IOException {
		try (ScriptedRunner engine = new ScriptedRunner((request, count, socket, out) -> {
		}); RelayFixture router = new RelayFixture(engine).withConfiguration()) {
			router.loadTracker().applyReport("other-daemon", Map.of(new RunnerId("engine"), FULL));
			try (Socket caller = ask(router, "/model/1")) {
				router.awaitActive(1);
				router.context().endAll();
				assertThat(RelayFixture.readUntil(caller.getInputStream(), "\r\n\r\n")).startsWith("HTTP/1.1 503 ")
					.contains("retry-after");
			}
			assertThat(engine.hasRequest()).isFalse();
		}
	}

	// Guards against streams that are sent to runners by a leaving daemon and cut off
	// when it stops, although others could have served them.
	@Example
	void streamThatWouldBeCutOffIsRejectedByALeavingDaemon() throws IOException {
		try (ScriptedRunner engine = answering(); RelayFixture router = new RelayFixture(engine).withConfiguration()) {
			long now = router.millis();
			router.context().startLeaving(new ShutdownSchedule(now + 60_000, now + 61_000), () -> true);
			assertThat(exchange(router, "/model/1")).startsWith("HTTP/1.1 200 ");
			engine.next();
			router.context().startLeaving(new ShutdownSchedule(now + 60_000, now + 1), () -> true);
			assertThat(exchange(router, "/model/1")).startsWith("HTTP/1.1 503 ").contains("retry-after: 0.1");
			assertThat(engine.hasRequest()).isFalse();
			router.context().startLeaving(new ShutdownSchedule(now + 60_000, now + 1), () -> false);
			assertThat(exchange(router, "/model/1")).as("no other daemon serves").startsWith("HTTP/1.1 200 ");
		}
	}

	// Guards against a booking of which nobody knows whether it was made.
	@Example
	void bookingThatMayBeCutOffIsRejectedByALeavingDaemon() throws IOException {
		try (ScriptedRunner runner = answering(); RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			long now = router.millis();
			router.context().startLeaving(new ShutdownSchedule(now + 60_000, now + 3000), () -> true);
			assertThat(exchange(router, "/book/1")).startsWith("HTTP/1.1 503 ").contains("retry-after: 0.1");
			assertThat(runner.hasRequest()).isFalse();
			assertThat(exchange(router, "/read/1")).startsWith("HTTP/1.1 200 ");
		}
	}

	private static ScriptedRunner answering() {
		return new ScriptedRunner((request, count, socket, out) -> out
			.write(("HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s1\r\nContent-Type: text/event-stream\r\n"
					+ "Content-Length: 16\r\n\r\nid: 1\ndata: ab\n\n")
				.getBytes(StandardCharsets.ISO_8859_1)));
	}

	private static String exchange(RelayFixture router, String path) throws IOException {
		return router.exchange(RelayFixture.request("POST", path, "a1", "Connection: close\r\n", "body"));
	}

	// Guards against a rejection, which promises that the request has not run.
	@Example
	void bookingInProgressIsNotRejectedWhenTheDaemonStops() throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner((request, count, socket, out) -> {
		});
				RelayFixture router = new RelayFixture(runner).withConfiguration();
				Socket caller = ask(router, "/book/1")) {
			runner.next();
			router.context().endAll();
			assertThat(RelayFixture.readUntil(caller.getInputStream(), "\r\n\r\n")).startsWith("HTTP/1.1 502 ");
			runner.awaitClose();
		}
	}

}
