package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Random;

import net.jqwik.api.Example;
import org.assertj.core.api.SoftAssertions;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of runners that stop within an answer and close or reset the connection. Callers
 * must not take what has arrived for a whole answer.
 */
class CutAnswerTests {

	private static final String CLOSE = "Connection: close\r\n";

	private static final String EVENTS = "id: 1\ndata: ab\n\nid: 2\ndata: cd\n\n";

	/** Heads that state the length of the body, or that it comes in chunks. */
	private static final List<String> FRAMED = List.of(
			head("text/plain") + "Content-Length: 32\r\n\r\n" + "0123456789abcdef".repeat(2),
			head("text/event-stream") + "Content-Length: " + EVENTS.length() + "\r\n\r\n" + EVENTS,
			head("text/plain") + "Transfer-Encoding: chunked\r\n\r\n10\r\n0123456789abcdef\r\n0\r\n\r\n",
			head("text/event-stream") + "Transfer-Encoding: chunked\r\n\r\n" + RelayFixture.chunk(EVENTS)
					+ "0\r\n\r\n");

	private static final List<String> UNFRAMED_HEADS = List.of(head("text/plain") + "\r\n",
			head("text/event-stream") + "\r\n", head("text/plain").replace("HTTP/1.1", "HTTP/1.0") + "\r\n");

	private static final List<String> PATHS = List.of("/book/1", "/read/1", "/stream/1");

	private static String head(String type) {
		return "HTTP/1.1 200 OK\r\nx-attempt: a1\r\nx-seal: s1\r\nContent-Type: " + type + "\r\n";
	}

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	// Closes the connection so that its peer reads the end of the data, or a reset that
	// may overtake the data.
	private static void close(Socket socket, boolean reset) throws IOException {
		if (reset) {
			socket.setSoLinger(true, 0);
		}
		socket.close();
	}

	// Returns what a caller receives if the runner sends the given bytes on a new
	// connection, or on one that has carried another answer.
	private static String exchange(String path, String bytes, boolean reset, boolean kept) throws IOException {
		ScriptedRunner.Script script = (request, count, socket, out) -> {
			if (request.contains("x-attempt: a0\r\n")) {
				write(out, "HTTP/1.1 200 OK\r\nx-attempt: a0\r\nx-seal: s0\r\nKeep-Alive: timeout=9\r\n"
						+ "Content-Length: 2\r\n\r\nok");
				return;
			}
			write(out, bytes);
			close(socket, reset);
		};
		try (ScriptedRunner runner = new ScriptedRunner(script);
				RelayFixture router = new RelayFixture(runner).withConfiguration()) {
			if (kept) {
				assertThat(router.exchange(RelayFixture.request("POST", path, "a0", CLOSE, "body")))
					.startsWith("HTTP/1.1 200 ");
			}
			return router.exchange(RelayFixture.request("POST", path, "a1", CLOSE, "body"));
		}
	}

	// Returns whether a caller takes a response for a whole success.
	private static boolean isWholeSuccess(String response) {
		int end = response.indexOf("\r\n\r\n");
		if (end < 0 || !response.startsWith("HTTP/1.1 2")) {
			return false;
		}
		String head = response.substring(0, end).toLowerCase(Locale.ROOT);
		int length = head.indexOf("content-length: ");
		if (length >= 0) {
			String value = head.substring(length + 16).split("\r\n")[0];
			return Integer.parseInt(value) == response.length() - end - 4;
		}
		return !head.contains("transfer-encoding: chunked") || response.endsWith("0\r\n\r\n");
	}

	// Guards against an answer with a length or in chunks that is cut after any byte, by
	// a close or a reset.
	@Example
	void framedAnswerThatIsCutIsNotWhole() throws IOException {
		Random random = new Random(240724);
		SoftAssertions softly = new SoftAssertions();
		for (String answer : FRAMED) {
			for (int length = 0; length < answer.length(); length++) {
				String path = PATHS.get(random.nextInt(PATHS.size()));
				boolean reset = random.nextBoolean();
				boolean kept = random.nextBoolean();
				softly.assertThat(isWholeSuccess(exchange(path, answer.substring(0, length), reset, kept)))
					.as("%s, %s, kept %s, %d of: %s", path, reset ? "reset" : "closed", kept, length, answer)
					.isFalse();
			}
		}
		softly.assertAll();
	}

	@Example
	void framedAnswerThatIsNotCutIsWhole() throws IOException {
		for (String answer : FRAMED) {
			for (String path : PATHS) {
				assertThat(isWholeSuccess(exchange(path, answer, false, false))).as(path + ": " + answer).isTrue();
			}
		}
	}

	// Guards against a runner that stops within or right behind the head of an answer
	// without a length. Only its body could show that it went on.
	@Example
	void unframedAnswerWithoutABodyIsNotWhole() throws IOException {
		Random random = new Random(240725);
		SoftAssertions softly = new SoftAssertions();
		for (String head : UNFRAMED_HEADS) {
			for (int length = 0; length <= head.length(); length++) {
				String path = PATHS.get(random.nextInt(PATHS.size()));
				boolean kept = random.nextBoolean();
				softly.assertThat(isWholeSuccess(exchange(path, head.substring(0, length), false, kept)))
					.as("%s, kept %s, %d of: %s", path, kept, length, head)
					.isFalse();
			}
			for (String path : PATHS) {
				softly.assertThat(isWholeSuccess(exchange(path, head, false, false))).as(path + ": " + head).isFalse();
			}
		}
		softly.assertAll();
	}

	// Guards against an answer without a length whose connection is reset, so that
	// nothing tells whether more would have come.
	@Example
	void unframedAnswerThatIsResetIsNotWhole() throws IOException {
		SoftAssertions softly = new SoftAssertions();
		for (String head : UNFRAMED_HEADS) {
			for (String path : PATHS) {
				for (int length = 0; length <= EVENTS.length(); length += 4) {
					softly.assertThat(isWholeSuccess(exchange(path, head + EVENTS.substring(0, length), true, false)))
						.as("%s, %d bytes behind: %s", path, length, head)
						.isFalse();
				}
			}
		}
		softly.assertAll();
	}

	// An answer may end with its connection.
	@Example
	void unframedAnswerEndsWithItsConnection() throws IOException {
		for (String head : UNFRAMED_HEADS) {
			for (String path : PATHS) {
				assertThat(exchange(path, head + EVENTS, false, false)).as(path + ": " + head)
					.startsWith("HTTP/1.1 200 ")
					.contains("data: cd");
			}
		}
	}

}
