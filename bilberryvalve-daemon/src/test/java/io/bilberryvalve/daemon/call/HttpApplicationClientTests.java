package io.bilberryvalve.daemon.call;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
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

	@Example
	void reportsTruncatedAnswerAsLost() throws Exception {
		try (ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			serve(server, new CompletableFuture<>(), "HTTP/1.1 201 x\r\ncontent-length: 20\r\n\r\nok");
			assertThat(send(server.getLocalPort(), Duration.ofSeconds(5)))
				.isInstanceOf(ApplicationClient.Reply.Lost.class);
		}
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
		ApplicationRunner runner = new ApplicationRunner(new RunnerId("a1"), new Address("127.0.0.1", port),
				new DataCentreId("dc-1"), new ApplicationId("orders"), false);
		try (HttpApplicationClient client = new HttpApplicationClient(Duration.ofSeconds(2))) {
			return client.send(runner, CALL, timeout).toCompletableFuture().get(20, TimeUnit.SECONDS);
		}
	}

}
