package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.path.RunnerLoad;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of requests that wait for slots while a new configuration changes the engine
 * profile of their service.
 */
class EngineProfileChangeTests {

	private static final RunnerId ENGINE = new RunnerId("engine");

	private static final RunnerLoad FULL = new RunnerLoad(1000, 1L << 40, 1000, 0);

	private static final String ANSWER = "HTTP/1.1 200 OK\r\nx-seal: s\r\nContent-Length: 5\r\n\r\nhello";

	private static void send(Socket caller, String attempt) throws IOException {
		RelayFixture.send(caller, RelayFixture.request("POST", "/model/1", attempt, "", "prompt"));
	}

	// Lets one request wait, changes the engine profile, and lets another one wait.
	private static void waitAcrossTheChange(RelayFixture router, Socket before, Socket after) throws IOException {
		router.loadTracker().applyReport("other-daemon", Map.of(ENGINE, FULL));
		send(before, "a1");
		router.awaitActive(1);
		router.context().configure(RelayFixture.tableWithOtherEngine(2));
		send(after, "a2");
		router.awaitActive(2);
	}

	// Guards against a request that gets neither an answer nor a rejection, because it
	// waits in a queue that is no longer served.
	@Example
	void waitingRequestIsSentAfterTheChange() throws IOException {
		ScriptedRunner.Script answering = (request, count, socket, out) -> out
			.write(ANSWER.getBytes(StandardCharsets.US_ASCII));
		try (ScriptedRunner engine = new ScriptedRunner(answering);
				RelayFixture router = new RelayFixture(engine).withConfiguration();
				Socket before = router.open();
				Socket after = router.open()) {
			waitAcrossTheChange(router, before, after);
			router.loadTracker().applyReport("other-daemon", Map.of());
			router.dispatchAfter(Duration.ZERO);
			assertThat(RelayFixture.readUntil(after.getInputStream(), "hello")).startsWith("HTTP/1.1 200 ");
			assertThat(RelayFixture.readUntil(before.getInputStream(), "hello")).startsWith("HTTP/1.1 200 ");
		}
	}

	// Guards against a request that is held until its time limit, because the limit on
	// its wait is no longer checked.
	@Example
	void waitingRequestIsRejectedInTimeAfterTheChange() throws IOException {
		try (ScriptedRunner engine = new ScriptedRunner((request, count, socket, out) -> {
		});
				RelayFixture router = new RelayFixture(engine).withConfiguration();
				Socket before = router.open();
				Socket after = router.open()) {
			waitAcrossTheChange(router, before, after);
			router.dispatchAfter(Duration.ofMillis(1500));
			assertThat(RelayFixture.readUntil(after.getInputStream(), "\r\n\r\n")).startsWith("HTTP/1.1 503 ");
			before.setSoTimeout(1000);
			assertThat(RelayFixture.readUntil(before.getInputStream(), "\r\n\r\n")).startsWith("HTTP/1.1 503 ");
		}
	}

}
