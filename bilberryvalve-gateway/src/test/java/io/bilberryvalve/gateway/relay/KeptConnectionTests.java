package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of requests that meet the end of a kept connection. A runner that was silent for
 * longer than its idle timeout closes such a connection when it goes on.
 */
class KeptConnectionTests {

	private static final ScriptedRunner.Script CLOSING_KEPT_CONNECTIONS = (request, count, socket, out) -> {
		if (count > 0) {
			socket.close();
			return;
		}
		out.write(("HTTP/1.1 200 OK\r\nx-seal: s1\r\nKeep-Alive: timeout=5\r\nContent-Length: 2\r\n\r\nok")
			.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	};

	// Guards against a lookup that fails although its only runner is sound.
	@Example
	void lookupIsSentAgainToTheOnlyRunnerOnANewConnection() throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner(CLOSING_KEPT_CONNECTIONS);
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			assertThat(exchange(router, "GET", "/read/1", "a1", "")).startsWith("HTTP/1.1 200");
			assertThat(exchange(router, "GET", "/read/2", "a2", "")).startsWith("HTTP/1.1 200");
		}
	}

	@Example
	void requestThatCannotBeRepeatedUsesANewConnection() throws IOException {
		try (ScriptedRunner runner = new ScriptedRunner(CLOSING_KEPT_CONNECTIONS);
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			assertThat(exchange(router, "GET", "/read/1", "a1", "")).startsWith("HTTP/1.1 200");
			assertThat(exchange(router, "POST", "/book/2", "a2", "x")).startsWith("HTTP/1.1 200");
		}
	}

	private static String exchange(RelayFixture router, String method, String path, String attempt, String body)
			throws IOException {
		return router.exchange(RelayFixture.request(method, path, attempt, "Connection: close\r\n", body));
	}

}
