package io.bilberryvalve.gateway.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

import io.bilberryvalve.gateway.route.CallerLimits;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.clock.ManualClock;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link CallerServer} with callers on plain sockets.
 */
class CallerServerTests {

	private static final CallerLimits LIMITS = new CallerLimits(1024, 64, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

	private static final String HEAD = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n";

	private final ManualClock clock = new ManualClock();

	private final Transport transport = new Transport(1);

	private final List<String> handledRequests = Collections.synchronizedList(new ArrayList<>());

	private final CallerServer server = new CallerServer(this.transport, () -> LIMITS, this.clock, this::answer);

	private final Address address = this.server.listen("127.0.0.1", 0);

	@AfterTry
	void close() {
		this.transport.close();
	}

	@Example
	void incompleteHeadIsRejectedAfterItsLimit() throws IOException {
		try (Socket socket = open()) {
			exchangeOnce(socket);
			send(socket, "GET /slow HTTP/1.1\r\nHost: h");
			awaitBytes();
			this.clock.advance(Duration.ofSeconds(5));
			closeTimedOut();
			assertThat(readAll(socket)).startsWith("HTTP/1.1 408").contains("connection: close");
		}
		assertThat(this.handledRequests).containsExactly("/first ");
	}

	@Example
	void slowBodyHasMoreTimeThanAHead() throws IOException {
		try (Socket socket = open()) {
			send(socket, HEAD + "ab");
			awaitBytes();
			this.clock.advance(Duration.ofSeconds(14));
			closeTimedOut();
			send(socket, "cd");
			assertThat(readAnswer(socket)).startsWith("HTTP/1.1 200").endsWith("/a abcd");
		}
	}

	@Example
	void connectionWithoutRequestIsClosedAfterTheIdleTime() throws IOException {
		try (Socket socket = open()) {
			exchangeOnce(socket);
			this.clock.advance(Duration.ofSeconds(14));
			closeTimedOut();
			exchangeOnce(socket);
			this.clock.advance(Duration.ofSeconds(18));
			closeTimedOut();
			assertThat(readAll(socket)).isEmpty();
		}
	}

	@Example
	void pipelinedRequestsAreAnsweredInOrder() throws IOException {
		try (Socket socket = open()) {
			StringBuilder requests = new StringBuilder();
			for (int i = 0; i < 20; i++) {
				requests.append("GET /").append(i).append(" HTTP/1.1\r\nHost: h\r\n\r\n");
			}
			send(socket, requests.toString());
			for (int i = 0; i < 20; i++) {
				assertThat(readAnswer(socket)).endsWith("/" + i + " ");
			}
		}
	}

	@Example
	void oversizedHeadAndBodyAreRejectedBeforeHandling() throws IOException {
		try (Socket socket = open()) {
			send(socket, "GET /a HTTP/1.1\r\nX-Long: " + "x".repeat(2000) + "\r\n\r\n");
			assertThat(readAll(socket)).startsWith("HTTP/1.1 431");
		}
		try (Socket socket = open()) {
			send(socket, HEAD.replace("4\r", "65\r"));
			assertThat(readAnswer(socket)).startsWith("HTTP/1.1 413");
		}
		assertThat(this.handledRequests).isEmpty();
	}

	@Example
	void drainingServerAnnouncesThatTheConnectionCloses() throws IOException {
		try (Socket socket = open()) {
			exchangeOnce(socket);
			this.server.startDraining();
			send(socket, "GET /last HTTP/1.1\r\nHost: h\r\n\r\n");
			assertThat(readAll(socket)).startsWith("HTTP/1.1 200").contains("connection: close").endsWith("/last ");
		}
	}

	private void answer(CallerExchange exchange) {
		String text = exchange.request().uri() + " " + exchange.request().content().toString(StandardCharsets.US_ASCII);
		this.handledRequests.add(text);
		exchange.respond(HttpResponseStatus.OK, new DefaultHttpHeaders(), text);
	}

	private Socket open() throws IOException {
		Socket socket = new Socket(this.address.host(), this.address.port());
		socket.setSoTimeout(10_000);
		return socket;
	}

	// Waits for the event loop, which records the end of the exchange after it has sent
	// the answer.
	private void exchangeOnce(Socket socket) throws IOException {
		send(socket, "GET /first HTTP/1.1\r\nHost: h\r\n\r\n");
		assertThat(readAnswer(socket)).endsWith("/first ");
		awaitBytes();
	}

	/**
	 * Waits until the server has read all bytes that were sent before. The server has a
	 * single event loop, which reads them before it answers on other connections.
	 * @throws IOException if the connection fails
	 */
	private void awaitBytes() throws IOException {
		for (int i = 0; i < 3; i++) {
			try (Socket socket = open()) {
				send(socket, "GET /other HTTP/1.1\r\nHost: h\r\n\r\n");
				readAnswer(socket);
			}
		}
		this.handledRequests.removeIf((text) -> text.startsWith("/other"));
	}

	private void closeTimedOut() throws IOException {
		this.server.closeTimedOut();
		awaitBytes();
	}

	private static void send(Socket socket, String text) throws IOException {
		socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
		socket.getOutputStream().flush();
	}

	private static String readAll(Socket socket) throws IOException {
		return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
	}

	private static String readAnswer(Socket socket) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			head.append((char) socket.getInputStream().read());
		}
		int at = head.indexOf("content-length: ") + 16;
		int length = Integer.parseInt(head.substring(at, head.indexOf("\r", at)));
		return head + new String(socket.getInputStream().readNBytes(length), StandardCharsets.US_ASCII);
	}

}
