package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

import net.jqwik.api.Example;
import org.assertj.core.api.SoftAssertions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of runners that answer with a status line whose status is not a number from 100
 * to 599. Callers must not get it as an answer.
 */
class InvalidStatusTests {

	private static final String CLOSE = "Connection: close\r\n";

	private static final List<String> STATUSES = List.of("000", "0", "00", "099", "600", "999", "2000", "0200", "-200",
			"+200", "2x0", "");

	private static final List<String> HEADERS = List.of("x-attempt: a1\r\nx-seal: s1\r\n", "x-attempt: a1\r\n",
			"x-attempt: a1\r\nx-seal: s1\r\nContent-Type: text/event-stream\r\n", "");

	private static String answer(String status, String headers) {
		return "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: 16\r\n\r\nid: 1\ndata: ab\n\n";
	}

	// Returns the answer to a request if the only runner sends the given bytes.
	private static String exchange(String path, String bytes) throws IOException {
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
		};
		try (ScriptedRunner runner = new ScriptedRunner(script);
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			return router.exchange(RelayFixture.request("POST", path, "a1", CLOSE, "body"));
		}
	}

	// Guards against a caller of a request that may have run who is told that it has not,
	// or who gets an answer that no client understands.
	@Example
	void requestThatMayNotBeRepeatedEndsWithAnUnknownOutcome() throws IOException {
		SoftAssertions softly = new SoftAssertions();
		for (String status : STATUSES) {
			for (String headers : HEADERS) {
				softly.assertThat(exchange("/book/1", answer(status, headers)))
					.as("%s, %s", status, headers)
					.startsWith("HTTP/1.1 502 ")
					.doesNotContain("x-seal");
			}
		}
		softly.assertAll();
	}

	// Guards against the answer of a runner in trouble that ends a request which another
	// runner can answer.
	@Example
	void requestThatMayBeRepeatedIsSentToAnotherRunner() throws IOException {
		for (String status : STATUSES) {
			for (String path : List.of("/read/1", "/stream/1")) {
				AtomicInteger requests = new AtomicInteger();
				ScriptedRunner.Script script = (request, count, socket, out) -> {
					String bytes = (requests.getAndIncrement() == 0) ? answer(status, HEADERS.get(0))
							: answer("200", HEADERS.get(path.startsWith("/stream") ? 2 : 0));
					out.write(bytes.getBytes(StandardCharsets.ISO_8859_1));
					out.flush();
				};
				try (ScriptedRunner one = new ScriptedRunner(script);
						ScriptedRunner other = new ScriptedRunner(script);
						RelayFixture router = new RelayFixture(one, other).withConfiguration()) {
					assertThat(router.exchange(RelayFixture.request("POST", path, "a1", CLOSE, "body")))
						.as("%s, %s", status, path)
						.startsWith("HTTP/1.1 200 ")
						.contains("data: ab");
				}
			}
		}
	}

}
