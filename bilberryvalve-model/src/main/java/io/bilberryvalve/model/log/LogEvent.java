package io.bilberryvalve.model.log;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;

import org.jspecify.annotations.Nullable;

/**
 * Builds a log line of key=value pairs. A value that is empty or contains white space,
 * control characters, quotes, equals signs or backslashes is quoted and escaped, so that
 * each event stays on one line and can be parsed. An instance is not safe for use by
 * several threads.
 *
 * <pre>
 * LogEvent.of("request-ended").with("request", id).with("tokens", 12).log(logger, Level.INFO);
 * </pre>
 */
public final class LogEvent {

	/** Longest value, in characters; values may come from other processes. */
	private static final int MAX_VALUE_LENGTH = 1000;

	private final StringBuilder line;

	private LogEvent(String event) {
		this.line = new StringBuilder("event=").append(event);
	}

	/**
	 * Starts an event.
	 * @param event name of the event, lower-case words joined by hyphens
	 * @return the event
	 */
	public static LogEvent of(String event) {
		return new LogEvent(event);
	}

	/**
	 * Adds a key=value pair.
	 * @param key the key, written without quotes
	 * @param value value whose {@code toString()} is written, up to 1,000 characters, or
	 * {@code null} to leave the pair out
	 * @return this event
	 */
	public LogEvent with(String key, @Nullable Object value) {
		if (value != null) {
			this.line.append(' ').append(key).append('=');
			String text = value.toString();
			append((text.length() > MAX_VALUE_LENGTH) ? text.substring(0, MAX_VALUE_LENGTH) + "..." : text);
		}
		return this;
	}

	/**
	 * Writes the line if the logger has the level enabled.
	 * @param logger logger that receives the line
	 * @param level level of the line
	 */
	public void log(Logger logger, Level level) {
		if (logger.isLoggable(level)) {
			logger.log(level, this.line.toString());
		}
	}

	@Override
	public String toString() {
		return this.line.toString();
	}

	private void append(String value) {
		if (!needsQuotes(value)) {
			this.line.append(value);
			return;
		}
		this.line.append('"');
		for (int i = 0; i < value.length(); i++) {
			appendEscaped(value.charAt(i));
		}
		this.line.append('"');
	}

	private void appendEscaped(char c) {
		if (c == '"' || c == '\\') {
			this.line.append('\\').append(c);
		}
		else if (c < ' ') {
			this.line.append(String.format("\\u%04x", (int) c));
		}
		else {
			this.line.append(c);
		}
	}

	private static boolean needsQuotes(String value) {
		if (value.isEmpty()) {
			return true;
		}
		for (int i = 0; i < value.length(); i++) {
			char c = value.charAt(i);
			if (c <= ' ' || c == '"' || c == '=' || c == '\\') {
				return true;
			}
		}
		return false;
	}

}
