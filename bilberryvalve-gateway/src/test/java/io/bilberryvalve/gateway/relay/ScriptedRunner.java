package io.bilberryvalve.gateway.relay;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.Address;

/**
 * A runner that answers each request with the bytes that a script writes, so that tests
 * can produce any behaviour on the wire.
 */
final class ScriptedRunner implements AutoCloseable {

	private static final long TIMEOUT_SECONDS = 10;

	private final ServerSocket server;

	private final Script script;

	private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();

	private final BlockingQueue<Boolean> closes = new LinkedBlockingQueue<>();

	ScriptedRunner(Script script) {
		this.script = script;
		try {
			this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		Thread acceptor = new Thread(this::accept, "scripted-runner");
		acceptor.setDaemon(true);
		acceptor.start();
	}

	Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	/**
	 * Waits for the next request that the router sends to this runner.
	 * @return head and body of the request
	 */
	String next() {
		return poll(this.requests);
	}

	/** Waits until the router closes a connection. */
	void awaitClose() {
		poll(this.closes);
	}

	boolean hasRequest() {
		return !this.requests.isEmpty();
	}

	private static <T> T poll(BlockingQueue<T> queue) {
		try {
			T value = queue.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
			if (value == null) {
				throw new AssertionError("nothing arrived at the runner");
			}
			return value;
		}
		catch (InterruptedException ex) {
			throw new AssertionError(ex);
		}
	}

	private void accept() {
		try {
			while (true) {
				Socket socket = this.server.accept();
				Thread thread = new Thread(() -> serve(socket), "scripted-runner-connection");
				thread.setDaemon(true);
				thread.start();
			}
		}
		catch (IOException ex) {
			this.closes.add(true);
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			InputStream in = new BufferedInputStream(socket.getInputStream());
			int count = 0;
			for (String request = read(in); request != null; request = read(in)) {
				this.requests.add(request);
				this.script.answer(request, count++, socket, socket.getOutputStream());
				if (socket.isClosed()) {
					return;
				}
			}
		}
		catch (IOException ex) {
			this.closes.add(true);
			return;
		}
		this.closes.add(true);
	}

	private static String read(InputStream in) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		while (!bytes.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
			int next = in.read();
			if (next < 0) {
				return null;
			}
			bytes.write(next);
		}
		String head = bytes.toString(StandardCharsets.ISO_8859_1);
		int at = head.toLowerCase(Locale.ROOT).indexOf("content-length:");
		int length = (at < 0) ? 0 : Integer.parseInt(head.substring(at + 15, head.indexOf('\r', at)).trim());
		return head + new String(in.readNBytes(length), StandardCharsets.ISO_8859_1);
	}

	@Override
	public void close() throws IOException {
		this.server.close();
	}

	/**
	 * Writes the responses of a runner.
	 */
	interface Script {

		/**
		 * Answers a request, or does not.
		 * @param request head and body of the request
		 * @param count number of earlier requests on the connection
		 * @param socket the connection, which the script may close
		 * @param out output of the connection
		 * @throws IOException if the connection fails
		 */
		void answer(String request, int count, Socket socket, OutputStream out) throws IOException;

	}

}
