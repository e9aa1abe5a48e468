package io.bilberryvalve.daemon.call;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ApplicationId;
import io.bilberryvalve.model.ApplicationRunner;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.OperationId;
import io.bilberryvalve.model.RunnerId;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Checks that a call which may have reached the runner is never reported as not sent, and
 * that the HTTP client does not send a call again by itself.
 */
class HttpApplicationClientTests {

	private static final ApplicationCall CALL = new ApplicationCall(new ClubId("pavio"), new ApplicationId("orders"),
			new OperationId("place"), "text/plain", "body".getBytes(StandardCharsets.UTF_8), "k1");

	@Example
	void reportsRefusedConnectionAsNotSent() throws Exception {
		ServerSocket closed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
		closed.close();
		assertThat(send(closed.getLocalPort(), Duration.ofSeconds(5)))
			.isInstanceOf(ApplicationClient.Reply.NotSent.class);
	}

	@Example
	void reportsClosedConnectionAsLostAndSendsOnce() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			CompletableFuture<String> received = new CompletableFuture<>();
			serve(server, received, "");
			assertThat(send(server.getLocalPort(), Duration.ofSeconds(5)))
				.isInstanceOf(ApplicationClient.Reply.Lost.class);
			assertThat(received.get(5, TimeUnit.SECONDS)).contains("idempotency-key: k1");
			server.setSoTimeout(300);
			assertThat(accepts(server)).as("a second connection").isFalse();
		}
	}

	@Example
	void reportsSilenceAsLost() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			assertThat(send(server.getLocalPort(), Duration.ofMillis(300)))
				.isInstanceOf(ApplicationClient.Reply.Lost.class);
		}
	}

	@Example
	void returnsCompleteAnswer() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			serve(server, new CompletableFuture<>(),
					"HTTP/1.1 201 x\r\ncontent-type: text/plain\r\ncontent-length: 2\r\n\r\nok");
			ApplicationClient.Reply reply = send(server.getLocalPort(), Duration.ofSeconds(5));
			CallResult result = ((ApplicationClient.Reply.Answered) reply).result();
			assertThat(result.status()).isEqualTo(201);
			assertThat(CallResult.decode(result.encode()).body()).isEqualTo("ok".getBytes(StandardCharsets.UTF_8));
		}
	}

	// Guards against an answer without end that fills the memory until its time limit.
	@Example
	void reportsAnAnswerThatIsTooLongAsLost() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			serve(server, new CompletableFuture<>(), "HTTP/1.1 201 x\r\n\r\n" + "x".repeat(20 << 20));
			ApplicationClient.Reply reply = send(server.getLocalPort(), Duration.ofSeconds(20));
			assertThat(((ApplicationClient.Reply.Lost) reply).detail()).contains("exceeds");
		}
	}

	// Guards against an answer with an invalid status that is passed on to the caller as
	// the result of the call.
	@Example
	void reportsAnAnswerWithAnInvalidStatusAsLost() throws Exception {
		for (String status : List.of("000", "0", "099", "600", "999", "2000", "-200", "2x0")) {
			try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
				serve(server, new CompletableFuture<>(),
						"HTTP/1.1 " + status + " x\r\ncontent-type: text/plain\r\ncontent-length: 2\r\n\r\nok");
				assertThat(send(server.getLocalPort(), Duration.ofSeconds(5))).as(status)
					.isInstanceOf(ApplicationClient.Reply.Lost.class);
			}
		}
	}

	@Example
	void reportsTruncatedAnswerAsLost() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			serve(server, new CompletableFuture<>(), "HTTP/1.1 201 x\r\ncontent-length: 20\r\n\r\nok");
			assertThat(send(server.getLocalPort(), Duration.ofSeconds(5)))
				.isInstanceOf(ApplicationClient.Reply.Lost.class);
		}
	}

	// Guards against the answer to an earlier call, which a faulty runner writes once
	// more on a kept connection, as the answer to a later call.
	@Example
	void sendsEachCallOnAConnectionOfItsOwn() throws Exception {
		String refusal = "HTTP/1.1 503 x\r\ncontent-length: 0\r\n\r\n";
		String answer = "HTTP/1.1 201 x\r\ncontent-length: 2\r\n\r\nok";
		try (ServerSocket server = new ServerSocket(0, 4, InetAddress.getLoopbackAddress());
				HttpApplicationClient client = new HttpApplicationClient(Duration.ofSeconds(2))) {
			Thread thread = new Thread(() -> repeatFirstAnswer(server, refusal, answer), "faulty-application");
			thread.setDaemon(true);
			thread.start();
			assertThat(status(client, server.getLocalPort())).isEqualTo(503);
			for (int i = 0; i < 3; i++) {
				assertThat(status(client, server.getLocalPort())).isEqualTo(201);
			}
		}
	}

	// Answers the first request with a refusal and all others with the answer, but writes
	// the refusal again on each connection that gets a second request.
	private static void repeatFirstAnswer(ServerSocket server, String refusal, String answer) {
		try {
			for (int i = 0; i < 4; i++) {
				Socket connection = server.accept();
				String own = (i == 0) ? refusal : answer;
				Thread thread = new Thread(() -> answerAll(connection, own, refusal + answer), "faulty-connection");
				thread.setDaemon(true);
				thread.start();
			}
		}
		catch (IOException ex) {
			// The server was closed.
		}
	}

	private static void answerAll(Socket connection, String first, String later) {
		try (Socket open = connection) {
			InputStream in = open.getInputStream();
			String answer = first;
			StringBuilder request = new StringBuilder();
			for (int next = in.read(); next >= 0; next = in.read()) {
				request.append((char) next);
				if (request.toString().endsWith("body")) {
					request.setLength(0);
					open.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
					answer = later;
				}
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
	}

	private static int status(HttpApplicationClient client, int port) throws Exception {
		ApplicationClient.Reply reply = client.send(runner(port), CALL, Duration.ofSeconds(5))
			.toCompletableFuture()
			.get(20, TimeUnit.SECONDS);
		return (reply instanceof ApplicationClient.Reply.Answered answered) ? answered.result().status() : 0;
	}

	private static ApplicationRunner runner(int port) {
		return new ApplicationRunner(new RunnerId("a1"), new Address("127.0.0.1", port), new DataCentreId("dc-1"),
				new ApplicationId("orders"), false);
	}

	private static boolean accepts(ServerSocket server) throws IOException {
		try (Socket connection = server.accept()) {
			return connection.isBound();
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
	}

	// Reads one request, writes the response and closes the connection.
	private static void serve(ServerSocket server, CompletableFuture<String> received, String answer) {
		Thread thread = new Thread(() -> {
			try (Socket connection = server.accept()) {
				InputStream in = connection.getInputStream();
				StringBuilder request = new StringBuilder();
				while (!request.toString().endsWith("body")) {
					request.append((char) in.read());
				}
				received.complete(request.toString());
				connection.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
			}
			catch (IOException ex) {
				received.completeExceptionally(ex);
			}
		}, "stub-application");
		thread.setDaemon(true);
		thread.start();
	}

	private static ApplicationClient.Reply send(int port, Duration timeout) throws Exception {
		ApplicationRunner runner = runner(port);
		try (HttpApplicationClient client = new HttpApplicationClient(Duration.ofSeconds(2))) {
			return client.send(runner, CALL, timeout).toCompletableFuture().get(20, TimeUnit.SECONDS);
		}
	}

}
