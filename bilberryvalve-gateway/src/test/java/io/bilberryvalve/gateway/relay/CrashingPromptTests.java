package io.bilberryvalve.gateway.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class CrashingPromptTests {

	private static final String BAD_PART = "bad:10";

	private static final int RUNNERS = 8;

	/**
	 * Prompts that crash runners before their part is known, with one repetition each.
	 */
	private static final int MOST_CRASHES = 5;

	private final List<ScriptedRunner> runners = new ArrayList<>();

	private final AtomicInteger crashes = new AtomicInteger();

	private static void write(OutputStream out, String text) throws IOException {
		out.write(text.getBytes(StandardCharsets.ISO_8859_1));
		out.flush();
	}

	private static String stream(int events) {
		StringBuilder text = new StringBuilder("HTTP/1.1 200 OK\r\nx-seal: s1\r\nContent-Type: text/event-stream\r\n"
				+ "Transfer-Encoding: chunked\r\n\r\n");
		for (int i = 1; i <= events; i++) {
			text.append(RelayFixture.chunk("id: " + i + "\ndata: x\n\n"));
		}
		return text + "0\r\n\r\n";
	}

	// Ends like the process of a runner that a prompt with the bad part has reached: the
	// connection is reset, and the address refuses others from then on.
	private ScriptedRunner fragileRunner() {
		AtomicReference<ScriptedRunner> self = new AtomicReference<>();
		self.set(new ScriptedRunner((request, count, socket, out) -> {
			if (request.contains(BAD_PART)) {
				this.crashes.incrementAndGet();
				self.get().close();
				reset(socket);
			}
			else {
				write(out, stream(5));
			}
		}));
		this.runners.add(self.get());
		return self.get();
	}

	private static void reset(Socket socket) throws IOException {
		socket.setSoLinger(true, 0);
		socket.close();
	}

	private static String ask(RelayFixture router, String attempt, String parts) throws IOException {
		String more = "Connection: close\r\nx-parts: " + parts + "\r\n";
		return router.exchange(RelayFixture.request("POST", "/model/1", attempt, more, "question"));
	}

	// Guards against requests that crash one runner after the other, and against sound
	// ones that lose their service because they share another part with those.
	@Example
	void promptPartThatCrashesRunnersIsSentToFewOfThem() throws IOException {
		try (RelayFixture router = new RelayFixture(fragileRunner()).withConfiguration()) {
			for (int i = 1; i < RUNNERS; i++) {
				router.addEngine("engine-" + i, fragileRunner());
			}
			String last = "";
			for (int i = 0; i < RUNNERS; i++) {
				last = ask(router, "bad-" + i, "common:10," + BAD_PART + ",own" + i + ":10");
				assertThat(ask(router, "good-" + i, "common:10,mine" + i + ":10")).startsWith("HTTP/1.1 200 OK");
				router.advanceCrashClock(Duration.ofSeconds(1));
			}
			assertThat(this.crashes.get()).isLessThanOrEqualTo(MOST_CRASHES);
			assertThat(last).startsWith("HTTP/1.1 503 ").contains("retry-after");
		}
		finally {
			for (ScriptedRunner runner : this.runners) {
				runner.close();
			}
		}
	}

}
