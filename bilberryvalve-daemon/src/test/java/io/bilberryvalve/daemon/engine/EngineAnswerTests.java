package io.bilberryvalve.daemon.engine;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.RequestId;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.PlanKey;
import io.bilberryvalve.policy.chain.Stage;
import io.bilberryvalve.policy.choice.LoadReport;
import io.bilberryvalve.policy.outcome.TokenEvent;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class EngineAnswerTests {

	private static final ModelVersion MODEL = new ModelVersion(new ModelId("m"), "1");

	private static final RequestId REQUEST = new RequestId(new VmId("pav-1"), 1, 1);

	private static final String TOKEN = "{\"stream\":\"" + REQUEST + "\",\"epoch\":2,\"index\":1,\"text\":\"t1\","
			+ "\"layers\":[{\"runner\":\"r1\",\"first\":0,\"end\":8}],\"last\":false}";

	// Guards against the text of an error, or an answer that is no stream, in the
	// middle of a reply, and against an end that looks complete.
	@Example
	void reportsEveryAnswerWithoutTokensAsAFailure() throws Exception {
		for (String answer : List.of(head(500, "text/plain") + "internal error", head(200, "text/plain") + "data oops",
				head(200, "text/html") + "<p>error</p>\n\n", head(200, "application/json") + "{\"error\":1}\n\n",
				head(200, "text/event-stream"), head(204, "text/event-stream"), head(302, "text/plain"), "",
				"no HTTP at all\r\n\r\n", head(200, "text/event-stream") + "data: [DONE]\n\n",
				head(200, "text/event-stream") + "event: problem\ndata: {\"detail\":\"x\"}\n\n",
				head(200, "text/event-stream") + "data: " + TOKEN.replace(REQUEST.toString(), "other") + "\n\n",
				head(200, "text/event-stream") + "data: HTTP/1.1 500 x\n\n")) {
			Listener listener = read(answer);
			assertThat(listener.tokens).as(answer).isEmpty();
			assertThat(listener.end.get(20, TimeUnit.SECONDS)).as(answer).isNotEmpty();
		}
	}

	// Guards against a stream without an end after an odd event, which would hang its
	// reply until the time limit for silence.
	@Example
	void endsAStreamWithOddEvents() throws Exception {
		for (String odd : List.of("", "null", "7", "[]", "{}", "[".repeat(5000), "{\"epoch\":" + "9".repeat(2000) + "}",
				TOKEN.replace("\"index\":1", "\"index\":1e999999999"), TOKEN.replace("\"index\":1", "\"index\":-1"),
				TOKEN.replace("\"first\":0", "\"first\":99"), TOKEN.replace("\"layers\":[", "\"layers\":[7,"),
				TOKEN.replace("r1", ""), TOKEN.replace("\"text\"", "\"other\""))) {
			Listener listener = read(head(200, "text/event-stream") + "data: " + odd + "\n\n");
			assertThat(listener.end.get(20, TimeUnit.SECONDS)).as(odd.substring(0, Math.min(60, odd.length())))
				.isNotEmpty();
		}
	}

	// Guards against the same for any bytes.
	@Example
	void endsAStreamOfRandomBytes() throws Exception {
		Random random = new Random(51);
		for (int i = 0; i < 40; i++) {
			StringBuilder events = new StringBuilder();
			for (int j = 0; j < 5; j++) {
				StringBuilder event = new StringBuilder(TOKEN);
				for (int k = 0; k < 1 + random.nextInt(3); k++) {
					event.setCharAt(random.nextInt(event.length()), (char) (32 + random.nextInt(95)));
				}
				events.append("data: ").append(event).append("\n\n");
			}
			Listener listener = read(head(200, "text/event-stream") + events);
			assertThat(listener.end.get(20, TimeUnit.SECONDS)).isNotEmpty();
		}
	}

	// Guards against ending a stream that was silent for a moment by dropping the idle
	// connections to its engine.
	@Example
	void keepsAnOpenStreamOnReconnect() throws Exception {
		CompletableFuture<Void> reconnected = new CompletableFuture<>();
		Listener listener = new Listener();
		try (ServerSocket server = new ServerSocket(0, 4, InetAddress.getLoopbackAddress());
				HttpEngineClient client = new HttpEngineClient(Duration.ofSeconds(2), Duration.ofSeconds(2),
						Duration.ofSeconds(2))) {
			Thread thread = new Thread(
					() -> serve(server, head(200, "text/event-stream") + "data: " + TOKEN + "\n\n", reconnected,
							"data: " + TOKEN.replace("\"index\":1", "\"index\":2") + "\n\ndata: [DONE]\n\n"),
					"stub-engine");
			thread.setDaemon(true);
			thread.start();
			StreamRequest request = request(server.getLocalPort());
			listener.attach(client.openStream(request, () -> true, listener));
			listener.first.get(20, TimeUnit.SECONDS);
			client.reconnect(request.chain().first().runner().address());
			reconnected.complete(null);
			assertThat(listener.end.get(20, TimeUnit.SECONDS)).isEqualTo("ended");
		}
		assertThat(listener.tokens).extracting(TokenEvent::index).containsExactly(1, 2);
	}

	// Guards against an engine that keeps a reply and its connection busy without end.
	@Example
	void endsAStreamWithoutNewTokens() throws Exception {
		String last = TOKEN.replace("\"last\":false", "\"last\":true");
		for (String repeated : List.of(": alive\n\n", "data: " + TOKEN + "\n\n",
				"data: " + TOKEN.replace(REQUEST.toString(), "other") + "\n\n", "event: none\n\n")) {
			for (String first : List.of(TOKEN, last)) {
				Listener listener = new Listener();
				withEndlessAnswer(200, "data: " + first + "\n\n", repeated, (client, port) -> {
					listener.attach(client.openStream(request(port), () -> true, listener));
					assertThat(listener.end.get(20, TimeUnit.SECONDS)).as(repeated).contains("no new token");
				});
			}
		}
	}

	// Guards against the text of an error that does not end.
	@Example
	void endsAnErrorWithoutEnd() throws Exception {
		Listener listener = new Listener();
		withEndlessAnswer(500, "", "x".repeat(1024), (client, port) -> {
			listener.attach(client.openStream(request(port), () -> true, listener));
			assertThat(listener.end.get(20, TimeUnit.SECONDS)).contains("exceeds");
		});
	}

	// Guards against a report that is kept in memory until its time limit, however long
	// it is.
	@Example
	void failsAReportThatIsTooLong() throws Exception {
		withEndlessAnswer(200, "", " ".repeat(1024), (client, port) -> {
			Result<LoadReport> report = client.fetchLoad(new Address("127.0.0.1", port))
				.toCompletableFuture()
				.get(20, TimeUnit.SECONDS);
			assertThat(((Result.Failed<LoadReport>) report).problem().toString()).contains("exceeds");
		});
	}

	// Runs a check against an engine that writes a beginning and then the same text again
	// and again, and waits until the client closes the connection.
	private static void withEndlessAnswer(int status, String beginning, String repeated, Check check) throws Exception {
		CompletableFuture<Void> closed = new CompletableFuture<>();
		try (ServerSocket server = new ServerSocket(0, 4, InetAddress.getLoopbackAddress());
				HttpEngineClient client = new HttpEngineClient(Duration.ofSeconds(20), Duration.ofSeconds(20),
						Duration.ofSeconds(20))) {
			Thread thread = new Thread(() -> {
				try (Socket connection = server.accept()) {
					OutputStream out = connection.getOutputStream();
					out.write(("HTTP/1.1 " + status + " x\r\ncontent-type: text/event-stream\r\n"
							+ "transfer-encoding: chunked\r\n\r\n" + (beginning.isEmpty() ? "" : chunk(beginning)))
						.getBytes(StandardCharsets.UTF_8));
					byte[] more = chunk(repeated.repeat(1 + 8192 / repeated.length())).getBytes(StandardCharsets.UTF_8);
					while (true) {
						out.write(more);
					}
				}
				catch (IOException ex) {
					closed.complete(null);
				}
			}, "endless-engine");
			thread.setDaemon(true);
			thread.start();
			check.run(client, server.getLocalPort());
			closed.get(20, TimeUnit.SECONDS);
		}
	}

	private static String chunk(String text) {
		return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
	}

	private static String head(int status, String type) {
		return "HTTP/1.1 " + status + " x\r\ncontent-type: " + type + "\r\nconnection: close\r\n\r\n";
	}

	private static Listener read(String answer) throws Exception {
		Listener listener = new Listener();
		try (ServerSocket server = new ServerSocket(0, 4, InetAddress.getLoopbackAddress());
				HttpEngineClient client = new HttpEngineClient(Duration.ofSeconds(2), Duration.ofSeconds(2),
						Duration.ofSeconds(2))) {
			Thread thread = new Thread(() -> serve(server, answer, CompletableFuture.completedFuture(null), ""),
					"stub-engine");
			thread.setDaemon(true);
			thread.start();
			StreamRequest request = request(server.getLocalPort());
			listener.attach(client.openStream(request, () -> true, listener));
			listener.end.get(20, TimeUnit.SECONDS);
		}
		return listener;
	}

	private static StreamRequest request(int port) {
		Runner runner = new Runner(new RunnerId("r1"), new Address("127.0.0.1", port), new DataCentreId("dc"),
				new AcceleratorKind("a"), MODEL, new LayerRange(0, 8), true, null);
		Chain chain = new Chain(List.of(new Stage(runner, new LayerRange(0, 8))), 1, 1);
		return new StreamRequest(REQUEST, 2, new ClubId("pavio"), new PlanKey(MODEL, null), "prompt", List.of("t0"), 8,
				0, chain);
	}

	private static void serve(ServerSocket server, String answer, CompletableFuture<Void> ready, String rest) {
		try (Socket connection = server.accept()) {
			InputStream in = connection.getInputStream();
			StringBuilder request = new StringBuilder();
			while (request.indexOf("\"chain\":") < 0 || !request.toString().endsWith("}")) {
				request.append((char) in.read());
			}
			in.skip(in.available());
			connection.getOutputStream().write(answer.getBytes(StandardCharsets.UTF_8));
			ready.join();
			connection.getOutputStream().write(rest.getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
	}

	/**
	 * Records the events of a stream and reads on after each of them.
	 */
	private static final class Listener implements EngineListener {

		private final List<TokenEvent> tokens = new CopyOnWriteArrayList<>();

		private final CompletableFuture<TokenEvent> first = new CompletableFuture<>();

		private final CompletableFuture<String> end = new CompletableFuture<>();

		private final CompletableFuture<EngineStream> stream = new CompletableFuture<>();

		void attach(EngineStream opened) {
			this.stream.complete(opened);
			opened.read();
		}

		@Override
		public void onOpened() {
		}

		@Override
		public void onToken(TokenEvent event) {
			this.tokens.add(event);
			this.first.complete(event);
		}

		@Override
		public void onKeepAlive() {
		}

		@Override
		public void onReadComplete() {
			this.stream.thenAccept(EngineStream::read);
		}

		@Override
		public void onEnded() {
			this.end.complete("ended");
		}

		@Override
		public void onFailed(EngineFailure failure) {
			this.end.complete(failure.toString());
		}

	}

	/** Check that uses a client and an engine. */
	private interface Check {

		/**
		 * Runs the check.
		 * @param client the client
		 * @param port port of the engine
		 * @throws Exception if an answer is not in time
		 */
		void run(HttpEngineClient client, int port) throws Exception;

	}

}
