package rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Accepts connections on a free port and handles each on a thread of its own. */
abstract class Listener implements AutoCloseable {

	private final ServerSocket server;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	Listener(String ip) throws IOException {
		this.server = new ServerSocket();
		this.server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
		Thread thread = new Thread(this::accept, getClass().getSimpleName());
		thread.setDaemon(true);
		thread.start();
	}

	final String address() {
		return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				this.open.add(socket);
				Thread thread = new Thread(() -> run(socket), getClass().getSimpleName());
				thread.setDaemon(true);
				thread.start();
			}
			catch (IOException ex) {
				// The listener was closed, or the peer left before it was accepted.
			}
		}
	}

	private void run(Socket socket) {
		try (socket) {
			handle(socket);
		}
		catch (IOException | RuntimeException ex) {
			// The peer has closed or reset its connection.
		}
		finally {
			this.open.remove(socket);
		}
	}

	abstract void handle(Socket socket) throws IOException;

	@Override
	public void close() throws IOException {
		this.server.close();
		for (Socket socket : this.open) {
			socket.close();
		}
	}

}
