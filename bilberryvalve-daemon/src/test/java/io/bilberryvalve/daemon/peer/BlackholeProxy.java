package io.bilberryvalve.daemon.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.bilberryvalve.model.Address;

/**
 * TCP proxy that can turn into a black hole: it forwards connections to an address until
 * {@link #dropTraffic()} is called. From then on connections stay open, but their bytes
 * are dropped.
 */
final class BlackholeProxy implements AutoCloseable {

	private final ServerSocket server;

	private final Address target;

	private final List<Socket> sockets = new CopyOnWriteArrayList<>();

	private volatile boolean silent;

	BlackholeProxy(Address target) throws IOException {
		this.server = new ServerSocket(0, 16, InetAddress.getByName("127.0.0.1"));
		this.target = target;
		start(this::accept);
	}

	Address address() {
		return new Address("127.0.0.1", this.server.getLocalPort());
	}

	void dropTraffic() {
		this.silent = true;
	}

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.sockets) {
			socket.close();
		}
	}

	private void accept() throws IOException {
		while (true) {
			Socket caller = this.server.accept();
			Socket callee = new Socket(this.target.host(), this.target.port());
			this.sockets.addAll(List.of(caller, callee));
			start(() -> pump(caller, callee));
			start(() -> pump(callee, caller));
		}
	}

	private void pump(Socket from, Socket to) throws IOException {
		byte[] buffer = new byte[4096];
		try (InputStream in = from.getInputStream(); OutputStream out = to.getOutputStream()) {
			for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
				if (!this.silent) {
					out.write(buffer, 0, count);
				}
			}
		}
	}

	private static void start(Task task) {
		Thread thread = new Thread(() -> {
			try {
				task.run();
			}
			catch (IOException ex) {
				// The socket was closed; the thread ends.
			}
		});
		thread.setDaemon(true);
		thread.start();
	}

	/**
	 * Task that runs until its socket is closed.
	 */
	@FunctionalInterface
	private interface Task {

		void run() throws IOException;

	}

}
