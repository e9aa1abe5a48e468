package rig;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Passes connections on to one address. It can make the open ones silent for good. */
final class Proxy extends Listener {

	private final String target;

	private final Set<Socket> silent = ConcurrentHashMap.newKeySet();

	Proxy(String ip, String target) throws IOException {
		super(ip);
		this.target = target;
	}

	/** From now on, connections that are open deliver nothing and are not closed. */
	int silenceOpen() {
		this.silent.addAll(this.open);
		return this.silent.size();
	}

	@Override
	void handle(Socket socket) throws IOException {
		int colon = this.target.lastIndexOf(':');
		try (Socket other = new Socket(InetAddress.getByName(this.target.substring(0, colon)),
				Integer.parseInt(this.target.substring(colon + 1)))) {
			other.setTcpNoDelay(true);
			Thread back = new Thread(() -> {
				copy(socket, other, socket);
				if (!this.silent.contains(socket)) {
					closeQuietly(socket);
				}
			});
			back.setDaemon(true);
			back.start();
			copy(socket, socket, other);
		}
	}

	private void copy(Socket key, Socket from, Socket to) {
		try {
			InputStream in = from.getInputStream();
			byte[] data = new byte[65536];
			for (int n = in.read(data); n >= 0; n = in.read(data)) {
				if (!this.silent.contains(key)) {
					to.getOutputStream().write(data, 0, n);
				}
			}
		}
		catch (IOException ex) {
			// One side has closed its connection.
		}
	}

	private static void closeQuietly(Socket socket) {
		try {
			socket.close();
		}
		catch (IOException ex) {
			// It was closed already.
		}
	}

}
