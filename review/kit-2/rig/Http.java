package rig;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Messages of HTTP/1.1, as far as the stand-ins need them. */
final class Http {

	private Http() {
	}

	/**
	 * A message that was read.
	 *
	 * @param first its first line
	 * @param headers its headers by name in lower case
	 * @param body its body
	 */
	record Message(String first, Map<String, String> headers, byte[] body) {

		String header(String name) {
			return this.headers.get(name.toLowerCase(Locale.ROOT));
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String method() {
			return this.first.split(" ")[0];
		}

		String target() {
			return this.first.split(" ")[1];
		}

	}

	/** Receives the body of a message while it arrives. */
	interface BodyListener {

		void bytes(byte[] data, int length) throws IOException;

	}

	/** Reads a message, or returns null if the connection ended before its first byte. */
	static Message read(InputStream in, boolean response) throws IOException {
		return read(in, response, null);
	}

	static Message read(InputStream in, boolean response, BodyListener listener) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Map<String, String> headers = new TreeMap<>();
		for (String line = line(in); line == null || !line.isEmpty(); line = line(in)) {
			if (line == null) {
				throw new EOFException("the connection ended in the head");
			}
			int colon = line.indexOf(':');
			headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		BodyListener sink = (data, length) -> {
			body.write(data, 0, length);
			if (listener != null) {
				listener.bytes(data, length);
			}
		};
		if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
			chunks(in, sink);
		}
		else if (headers.containsKey("content-length")) {
			exactly(in, Integer.parseInt(headers.get("content-length")), sink);
		}
		else if (response) {
			byte[] data = new byte[8192];
			for (int n = in.read(data); n >= 0; n = in.read(data)) {
				sink.bytes(data, n);
			}
		}
		return new Message(first, headers, body.toByteArray());
	}

	private static void chunks(InputStream in, BodyListener sink) throws IOException {
		while (true) {
			String size = line(in);
			if (size == null) {
				throw new EOFException("the connection ended between two chunks");
			}
			int length = Integer.parseInt(size.trim(), 16);
			exactly(in, length, sink);
			if (line(in) == null) {
				throw new EOFException("the connection ended behind a chunk");
			}
			if (length == 0) {
				return;
			}
		}
	}

	private static void exactly(InputStream in, int length, BodyListener sink) throws IOException {
		byte[] data = new byte[Math.min(Math.max(1, length), 65536)];
		for (int left = length; left > 0;) {
			int n = in.read(data, 0, Math.min(left, data.length));
			if (n < 0) {
				throw new EOFException("the connection ended " + left + " bytes before the end of the body");
			}
			sink.bytes(data, n);
			left -= n;
		}
	}

	private static String line(InputStream in) throws IOException {
		StringBuilder text = new StringBuilder();
		for (int c = in.read(); c >= 0; c = in.read()) {
			if (c == '\n') {
				int end = text.length();
				return (end > 0 && text.charAt(end - 1) == '\r') ? text.substring(0, end - 1) : text.toString();
			}
			text.append((char) c);
		}
		if (text.length() > 0) {
			throw new EOFException("the connection ended in a line");
		}
		return null;
	}

	static void write(OutputStream out, String head, byte[] body) throws IOException {
		byte[] first = (head + "Content-Length: " + body.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
		byte[] all = new byte[first.length + body.length];
		System.arraycopy(first, 0, all, 0, first.length);
		System.arraycopy(body, 0, all, first.length, body.length);
		out.write(all);
		out.flush();
	}

}
