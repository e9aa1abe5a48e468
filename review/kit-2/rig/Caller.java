package rig;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** One connection of a client to a daemon. */
final class Caller implements AutoCloseable {

	static final String HOST = "ficu95.example";

	static final String KEY = "n2ctnfzs989anu6wsjnb";

	private static final AtomicLong IDS = new AtomicLong(0x1000);

	final Rig rig;

	final Socket socket;

	private final InputStream in;

	Caller(Rig rig, String address) throws IOException {
		this.rig = rig;
		int colon = address.lastIndexOf(':');
		this.socket = new Socket(InetAddress.getByName(address.substring(0, colon)),
				Integer.parseInt(address.substring(colon + 1)));
		this.socket.setTcpNoDelay(true);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	static String newId() {
		return String.format("%016x", IDS.getAndIncrement() * 0x9e3779b97f4a7c15L);
	}

	/** Sends a request. */
	void send(String method, String target, String id, int deadlineMillis, String more, byte[] body)
			throws IOException {
		String head = method + " " + target + " HTTP/1.1\r\nHost: " + HOST + "\r\nX-Bilberryvalve-Attempt-Id: " + id
				+ "\r\nX-Bilberryvalve-Deadline-Ms: " + deadlineMillis + "\r\nX-Bilberryvalve-Credential: " + KEY
				+ "\r\n" + more + ((body != null) ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
		this.rig.note("client sends " + id + " " + method + " " + target);
		this.socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
		if (body != null) {
			this.socket.getOutputStream().write(body);
		}
		this.socket.getOutputStream().flush();
	}

	/** Reads the answer to the request that was sent last. */
	Http.Message receive(String id, int timeoutMillis) throws IOException {
		return receive(id, timeoutMillis, null);
	}

	Http.Message receive(String id, int timeoutMillis, Http.BodyListener listener) throws IOException {
		this.socket.setSoTimeout(timeoutMillis);
		try {
			Http.Message answer = Http.read(this.in, true, listener);
			this.rig.note("client gets " + id + " " + ((answer != null) ? answer.first() : "a closed connection"));
			return answer;
		}
		catch (IOException ex) {
			this.rig.note("client gets " + id + " " + ex.getMessage());
			throw ex;
		}
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
