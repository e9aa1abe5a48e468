package io.bilberryvalve.daemon.engine;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.jspecify.annotations.Nullable;

/**
 * Incremental parser of server-sent events, for bytes that arrive in pieces of any size.
 * Not thread-safe.
 */
final class EventStreamParser {

	/**
	 * Maximum length of a line in bytes and of the data of an event in characters.
	 * Without a limit, a faulty engine could exhaust the memory.
	 */
	private static final int MAX_LENGTH = 1 << 18;

	private final Handler handler;

	private final ByteArrayOutputStream line = new ByteArrayOutputStream();

	private final StringBuilder data = new StringBuilder();

	private @Nullable String event;

	private boolean hasData;

	EventStreamParser(Handler handler) {
		this.handler = handler;
	}

	/**
	 * Parses the next bytes and passes every complete event to the handler.
	 * @param bytes bytes that follow those of the last call
	 * @throws IllegalArgumentException if a line or an event is too long
	 */
	void feed(byte[] bytes) {
		for (byte b : bytes) {
			if (b == '\n') {
				endLine();
			}
			else if (this.line.size() < MAX_LENGTH) {
				this.line.write(b);
			}
			else {
				throw new IllegalArgumentException("line exceeds " + MAX_LENGTH + " bytes");
			}
		}
	}

	private void endLine() {
		String text = this.line.toString(StandardCharsets.UTF_8);
		this.line.reset();
		if (text.endsWith("\r")) {
			text = text.substring(0, text.length() - 1);
		}
		if (text.isEmpty()) {
			endEvent();
		}
		else if (text.startsWith(":")) {
			this.handler.onComment();
		}
		else {
			field(text);
		}
	}

	private void field(String text) {
		int colon = text.indexOf(':');
		String name = (colon < 0) ? text : text.substring(0, colon);
		String value = (colon < 0) ? "" : text.substring(colon + 1);
		if (value.startsWith(" ")) {
			value = value.substring(1);
		}
		if (name.equals("event")) {
			this.event = value;
		}
		else if (name.equals("data")) {
			append(value);
		}
	}

	private void append(String value) {
		if (this.data.length() + value.length() > MAX_LENGTH) {
			throw new IllegalArgumentException("event exceeds " + MAX_LENGTH + " characters");
		}
		if (this.hasData) {
			this.data.append('\n');
		}
		this.data.append(value);
		this.hasData = true;
	}

	private void endEvent() {
		if (this.hasData) {
			this.handler.onEvent((this.event != null) ? this.event : "message", this.data.toString());
		}
		this.data.setLength(0);
		this.hasData = false;
		this.event = null;
	}

	/**
	 * Receives the parsed events and comments.
	 */
	interface Handler {

		/**
		 * Called for each event that has data.
		 * @param name name of the event, {@code message} if it has none
		 * @param data data of the event; several data lines are joined by line feeds
		 */
		void onEvent(String name, String data);

		/**
		 * Called for each comment line; engines send comments as keep-alives.
		 */
		void onComment();

	}

}
