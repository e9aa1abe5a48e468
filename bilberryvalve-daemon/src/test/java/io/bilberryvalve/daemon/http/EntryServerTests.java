package io.bilberryvalve.daemon.http;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import io.bilberryvalve.config.DaemonLimits;
import io.servicetalk.concurrent.api.Single;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

import static org.assertj.core.api.Assertions.assertThat;

class EntryServerTests {

	private static final int MAX_HEADER_BYTES = 500;

	private EntryServer server;

	@BeforeTry
	void start() throws Exception {
		DaemonLimits limits = DaemonLimits.defaults();
		DaemonLimits small = new DaemonLimits(limits.bodyBytes(), limits.submissionBytes(), MAX_HEADER_BYTES,
				limits.teamQueue(), limits.totalQueue(), Duration.ofMillis(500), limits.requestTimeout(),
				limits.storeTimeout(), limits.orderTimeout(), limits.progressDeadline(), limits.replyRetention());
		this.server = EntryServer.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
				(context, request, responses) -> Single.succeeded(responses.ok()), small);
	}

	@AfterTry
	void stop() throws Exception {
		this.server.close();
	}

	// Guards against a header limit in the settings that does not reach the server.
	@Example
	void rejectsHeaderOverTheLimit() throws Exception {
		assertThat(status(MAX_HEADER_BYTES / 2)).isEqualTo("HTTP/1.1 200");
		assertThat(status(2 * MAX_HEADER_BYTES)).isEqualTo("closed");
	}

	// Guards against idle connections that stay open longer than the settings allow.
	@Example
	void closesIdleConnection() throws Exception {
		try (Socket socket = connect()) {
			assertThat(socket.getInputStream().read()).isEqualTo(-1);
		}
	}

	private String status(int headerBytes) throws Exception {
		try (Socket socket = connect()) {
			String head = "GET / HTTP/1.1\r\nhost: a\r\nx: " + "a".repeat(headerBytes) + "\r\n\r\n";
			socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
			return new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
		}
		catch (SocketException ex) {
			return "closed";
		}
	}

	private Socket connect() throws Exception {
		Socket socket = new Socket(this.server.address().getAddress(), this.server.address().getPort());
		socket.setSoTimeout(20_000);
		return socket;
	}

}
