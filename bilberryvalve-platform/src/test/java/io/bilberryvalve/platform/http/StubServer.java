package io.bilberryvalve.platform.http;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.model.Address;

/**
 * HTTP server that sends fixed responses, one for each request. It does not respond to
 * requests after the last response. An empty response closes the connection after the
 * request was read.
 */
final class StubServer implements AutoCloseable {

	private final ServerSocket socket;

	private final List<Socket> connections = new ArrayList<>();

	private final List<String> responses;

	private final AtomicInteger requests = new AtomicInteger();

	StubServer(String... responses) throws IOException {
		this.socket = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
		this.responses = List.of(responses);
		Thread thread = new Thread(this::accept, "stub-server");
		thread.setDaemon(true);
		thread.start();
	}

	static String response(int status, String body) {
		return "HTTP/1.1 " + status + " x\r\ncontent-length: " + body.length() + "\r\n\r\n" + body;
	}

	Address address() {
		return new Address("127.0.0.1", this.socket.getLocalPort());
	}

	int requests() {
		return this.requests.get();
	}

	private void accept() {
		try {
			while (true) {
				Socket connection = this.socket.accept();
				synchronized (this.connections) {
					this.connections.add(connection);
				}
				Thread thread = new Thread(() -> serve(connection), "stub-connection");
				thread.setDaemon(true);
				thread.start();
			}
		}
		catch (IOException ex) {
			// The server was closed.
		}
	}

	private void serve(Socket connection) {
		try {
			InputStream in = connection.getInputStream();
			while (readRequest(in)) {
				int index = this.requests.getAndIncrement();
				if (index >= this.responses.size()) {
					continue;
				}
				if (this.responses.get(index).isEmpty()) {
					connection.close();
					return;
				}
				connection.getOutputStream().write(this.responses.get(index).getBytes(StandardCharsets.UTF_8));
			}
		}
		catch (IOException ex) {
			// The client closed the connection.
		}
	}

	private static boolean readRequest(InputStream in) throws IOException {
		StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			int next = in.read();
			if (next < 0) {
				return false;
			}
			head.append((char) next);
		}
		int length = 0;
		for (String line : head.toString().split("\r\n")) {
			if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
				length = Integer.parseInt(line.substring(line.indexOf(':') + 1).trim());
			}
		}
		return in.readNBytes(length).length == length;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
		synchronized (this.connections) {
			for (Socket connection : this.connections) {
				connection.close();
			}
		}
	}

}
