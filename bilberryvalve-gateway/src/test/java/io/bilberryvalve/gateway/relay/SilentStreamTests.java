package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of streams whose engine stops sending events without closing the connection.
 */
class SilentStreamTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\nx-seal: s1\r\nContent-Type: text/event-stream\r\n"
			+ "Transfer-Encoding: chunked\r\n\r\n";

	private static final String FIRST_EVENTS = RelayFixture.chunk("id: 1\ndata: a\n\n")
			+ RelayFixture.chunk("id: 2\ndata: b\n\n");

	private static final String LAST_EVENT = RelayFixture.chunk("id: 3\ndata: c\n\n") + "0\r\n\r\n";

	private static final int STREAMS = 5;

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static void silent(String request, int count, Socket socket, OutputStream out) throws IOException {
		write(out, HEAD + FIRST_EVENTS);
	}

	private static void continuing(String request, int count, Socket socket, OutputStream out) throws IOException {
		boolean resumed = request.toLowerCase(Locale.ROOT).contains("last-event-id: 2\r\n");
		write(out, HEAD + (resumed ? "" : FIRST_EVENTS) + LAST_EVENT);
	}

	// Guards against a late move to another engine: when an engine is lost, all its
	// streams fall silent at the same moment, which shows the loss sooner than the
	// silence of one stream.
	@Example
	void streamsThatFallSilentTogetherContinueAtAnotherEngine() throws IOException {
		try (ScriptedRunner lost = new ScriptedRunner(SilentStreamTests::silent);
				ScriptedRunner other = new ScriptedRunner(SilentStreamTests::continuing);
				RelayFixture router = new RelayFixture(lost).withConfiguration()) {
			List<Socket> callers = new ArrayList<>();
			for (int i = 0; i < STREAMS; i++) {
				Socket caller = router.open();
				RelayFixture.send(caller, RelayFixture.request("POST", "/model/1", "a" + i, "", "prompt"));
				callers.add(caller);
			}
			List<String> responses = new ArrayList<>();
			for (Socket caller : callers) {
				responses.add(RelayFixture.readUntil(caller.getInputStream(), "id: 2\ndata: b\n\n\r\n"));
			}
			router.addEngine("engine-2", other);
			router.startProgressChecks();
			int moved = 0;
			for (int i = 0; i < STREAMS - 1; i++) {
				other.next();
				moved++;
			}
			assertThat(moved).isEqualTo(STREAMS - 1);
			// The last stream remains alone at the engine and stays there, since only
			// a report of the engine can show the cause of its silence.
			assertThat(complete(callers, responses)).isEqualTo(STREAMS - 1);
		}
	}

	private static int complete(List<Socket> callers, List<String> responses) throws IOException {
		int complete = 0;
		for (int i = 0; i < callers.size(); i++) {
			try (Socket caller = callers.get(i)) {
				caller.setSoTimeout(300);
				String rest = RelayFixture.readUntil(caller.getInputStream(), "0\r\n\r\n");
				assertThat(RelayFixture.events(responses.get(i) + rest)).containsExactly("id: 1\ndata: a",
						"id: 2\ndata: b", "id: 3\ndata: c");
				complete++;
			}
			catch (SocketTimeoutException ex) {
				assertThat(responses.get(i)).contains("id: 2");
			}
		}
		return complete;
	}

}
