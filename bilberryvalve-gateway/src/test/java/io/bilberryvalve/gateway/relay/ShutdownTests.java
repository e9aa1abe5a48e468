package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.Map;

import io.bilberryvalve.model.RunnerId;
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
