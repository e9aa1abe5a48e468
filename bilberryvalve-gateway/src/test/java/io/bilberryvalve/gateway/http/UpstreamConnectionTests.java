package io.bilberryvalve.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.clock.ManualClock;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of one connection to a runner, with bytes that arrive in given segments.
 */
class UpstreamConnectionTests {

	private static final String ATTEMPT = "x-attempt";

	private static final Address RUNNER = new Address("127.0.0.1", 1);

	private static final int MAX_LENGTH = 60;

	private static final String ANSWER = response("200 OK", "first");

	private static final String REFUSAL = response("503 Full", "first");

	private final Transport transport = new Transport(1);

	private final UpstreamPool pool = new UpstreamPool(this.transport, this.transport.next(), new ManualClock());

	private UpstreamConnection connection = new UpstreamConnection(this.pool, RUNNER.toString());

	private EmbeddedChannel channel = new EmbeddedChannel(this.connection.handlers());

	private static String response(String status, String attempt) {
		return "HTTP/1.1 " + status + "\r\n" + (attempt.isEmpty() ? "" : ATTEMPT + ": " + attempt + "\r\n")
				+ "Content-Length: 4\r\n\r\nbody";
	}

	private static UpstreamCall call(HttpMethod method, String attempt, UpstreamListener listener) {
		HttpHeaders headers = new DefaultHttpHeaders().set(ATTEMPT, attempt);
		return new UpstreamCall(method, "/", headers, Unpooled.EMPTY_BUFFER, false, ATTEMPT, listener);
	}

	private void reopen() {
		this.channel.finishAndReleaseAll();
		this.connection = new UpstreamConnection(this.pool, RUNNER.toString());
		this.channel = new EmbeddedChannel(this.connection.handlers());
	}

	private Recorder send(String attempt) {
		Recorder recorder = new Recorder();
		this.connection.send(call(HttpMethod.GET, attempt, recorder));
		return recorder;
	}

	private void receive(String bytes) {
		this.channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
	}

	private void receiveInParts(String bytes, int size) {
		for (int i = 0; i < bytes.length() && this.channel.isOpen(); i += size) {
			receive(bytes.substring(i, Math.min(bytes.length(), i + size)));
		}
	}

	@AfterTry
	void close() {
		this.channel.finishAndReleaseAll();
		this.transport.close();
	}

	// Guards against a response to an earlier request that is taken for the next one,
	// however it is split.
	@Example
	void responseOfTheEarlierRequestIsSkipped() {
		for (int size = 1; size <= MAX_LENGTH; size++) {
			reopen();
			Recorder first = send("first");
			receiveInParts(REFUSAL, size);
			Recorder second = send("second");
			receiveInParts(REFUSAL + response("200 OK", "second"), size);
			assertThat(first.heard).containsExactly("503", "end");
			assertThat(second.heard).containsExactly("200", "end");
			assertThat(this.channel.isOpen()).isFalse();
		}
	}

	// Guards against a runner that keeps an event loop busy with preliminary responses.
	@Example
	void preliminaryResponsesWithoutEndAreAFailure() {
		Recorder few = send("first");
		receive("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(16) + response("200 OK", "first"));
		assertThat(few.heard).containsExactly("200", "end");
		reopen();
		Recorder many = send("first");
		receive("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(17));
		assertThat(many.heard).containsExactly("failure");
		assertThat(this.channel.isOpen()).isFalse();
	}

	// Guards against a response without identifier that is taken for that to the second
	// request of a connection.
	@Example
	void secondResponseWithoutIdentifierIsAFailure() {
		for (int size = 1; size <= MAX_LENGTH; size++) {
			reopen();
			send("first");
			receiveInParts(REFUSAL, size);
			Recorder second = send("second");
			receiveInParts(response("503 Full", "") + response("200 OK", "second"), size);
			assertThat(second.heard).containsExactly("failure");
			assertThat(this.channel.isOpen()).isFalse();
		}
	}

	// Guards against a response without identifier behind one to another request, which
	// shows that the order of the responses cannot be relied on.
	@Example
	void responseWithoutIdentifierBehindAForeignOneIsAFailure() {
		for (int size = 1; size <= MAX_LENGTH; size++) {
			reopen();
			Recorder only = send("second");
			receiveInParts(REFUSAL + response("503 Full", ""), size);
			assertThat(only.heard).containsExactly("failure");
		}
	}

	// Guards against bytes between two requests that are kept as the beginning of the
	// next response.
	@Example
	void bytesBetweenTwoRequestsCloseTheConnection() {
		for (int length = 1; length <= MAX_LENGTH; length++) {
			reopen();
			Recorder first = send("first");
			receive(ANSWER);
			receive(REFUSAL.substring(0, Math.min(length, REFUSAL.length())));
			assertThat(first.heard).containsExactly("200", "end");
			assertThat(this.channel.isOpen()).isFalse();
		}
	}

	// Guards against a connection that is used again although more bytes were received
	// together with the response.
	@Example
	void bytesBehindAResponseReachNoOtherRequest() {
		for (int length = 1; length <= MAX_LENGTH; length++) {
			reopen();
			Recorder second = new Recorder();
			UpstreamCall next = call(HttpMethod.GET, "second", second);
			Recorder first = new Recorder(() -> {
				if (this.connection.isUsableAt(this.pool.millis())) {
					this.connection.send(next);
				}
			});
			this.connection.send(call(HttpMethod.GET, "first", first));
			receive(ANSWER
					+ response("503 Full", "").substring(0, Math.min(length, response("503 Full", "").length())));
			assertThat(first.heard).containsExactly("200", "end");
			assertThat(second.heard).isEmpty();
			assertThat(this.channel.isOpen()).isFalse();
		}
	}

	// Guards against a new connection for each request.
	@Example
	void connectionIsKeptAfterAResponse() {
		for (String attempt : List.of("first", "second", "third")) {
			Recorder recorder = send(attempt);
			receive(response("200 OK", attempt));
			assertThat(recorder.heard).containsExactly("200", "end");
			assertThat(this.channel.isOpen()).isTrue();
		}
	}

	// Guards against a response to HEAD whose body is awaited, and against one to GET
	// whose body is taken for the next response.
	@Example
	void methodOfEachRequestDecidesWhetherItsResponseHasABody() {
		Recorder head = new Recorder();
		send("first");
		receive(ANSWER);
		this.connection.send(call(HttpMethod.HEAD, "second", head));
		receive("HTTP/1.1 200 OK\r\nx-attempt: second\r\nContent-Length: 4\r\n\r\n");
		assertThat(head.heard).containsExactly("200", "end");
		assertThat(this.channel.isOpen()).isTrue();
		Recorder third = send("third");
		receive(response("200 OK", "third"));
		assertThat(third.heard).containsExactly("200", "end");
	}

	/** Records what a listener is told. */
	private static final class Recorder implements UpstreamListener {

		private final List<String> heard = new ArrayList<>();

		private final Runnable onEnd;

		Recorder() {
			this(() -> {
			});
		}

		Recorder(Runnable onEnd) {
			this.onEnd = onEnd;
		}

		@Override
		public void onHead(HttpResponse head) {
			this.heard.add(Integer.toString(head.status().code()));
		}

		@Override
		public void onContent(ByteBuf content) {
		}

		@Override
		public void onEnd() {
			this.heard.add("end");
			this.onEnd.run();
		}

		@Override
		public void onFailure(boolean sent, String reason) {
			this.heard.add("failure");
		}

	}

}
