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

	private static final String ANSWER = response("200 OK", "first");

	private final Transport transport = new Transport(1);

	private final UpstreamPool pool = new UpstreamPool(this.transport, this.transport.next(), new ManualClock());

	private final UpstreamConnection connection = new UpstreamConnection(this.pool, RUNNER.toString());

	private final EmbeddedChannel channel = new EmbeddedChannel(this.connection.handlers());

	private static String response(String status, String attempt) {
		return "HTTP/1.1 " + status + "\r\n" + (attempt.isEmpty() ? "" : ATTEMPT + ": " + attempt + "\r\n")
				+ "Content-Length: 4\r\n\r\nbody";
	}

	private static UpstreamCall call(HttpMethod method, String attempt, UpstreamListener listener) {
		HttpHeaders headers = new DefaultHttpHeaders().set(ATTEMPT, attempt);
		return new UpstreamCall(method, "/", headers, Unpooled.EMPTY_BUFFER, false, ATTEMPT, listener);
	}

	private Recorder send(String attempt) {
		Recorder recorder = new Recorder();
		this.connection.send(call(HttpMethod.GET, attempt, recorder));
		return recorder;
	}

	private void receive(String bytes) {
		this.channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
	}

	@AfterTry
	void close() {
		this.channel.finishAndReleaseAll();
		this.transport.close();
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
		}

		@Override
		public void onFailure(boolean sent, String reason) {
			this.heard.add("failure");
		}

	}

}
