package io.bilberryvalve.bench.process;

import java.util.ArrayList;
import java.util.List;

import io.bilberryvalve.model.EventId;
import org.jspecify.annotations.Nullable;

/**
 * A reply as a client received it.
 */
public final class ClientReply {

	private static final double NANOS_PER_SECOND = 1e9;

	private final long start;

	private final List<Token> tokens = new ArrayList<>();

	private boolean done;

	private int status = 200;

	private @Nullable String fault;

	private @Nullable String lastEvent;

	ClientReply(long start) {
		this.start = start;
	}

	void token(long nanos, int index, String text) {
		this.tokens.add(new Token(nanos, index, text, this.lastEvent));
	}

	void position(String event) {
		this.lastEvent = event;
	}

	void done() {
		this.done = true;
	}

	void refused(int code, String body) {
		this.status = code;
		this.fault = body;
	}

	void broken(String reason) {
		this.fault = reason;
	}

	/**
	 * Tells whether the reply has each token from an index to the end once and in order.
	 * @param from first index
	 * @param end number of tokens of the whole reply
	 * @return whether it is whole
	 */
	public boolean whole(int from, int end) {
		if (!this.done || this.fault != null || this.tokens.size() != end - from) {
			return false;
		}
		for (int i = 0; i < this.tokens.size(); i++) {
			if (this.tokens.get(i).index != from + i) {
				return false;
			}
		}
		return true;
	}

	/**
	 * Returns the text of the tokens.
	 * @return the text
	 */
	public String text() {
		StringBuilder text = new StringBuilder();
		this.tokens.forEach((token) -> text.append(token.text));
		return text.toString();
	}

	/**
	 * Returns the number of tokens received.
	 * @return the number
	 */
	public int size() {
		return this.tokens.size();
	}

	/**
	 * Returns the time from the request to the first token.
	 * @return time in seconds, infinite without a token
	 */
	public double firstTokenSeconds() {
		return this.tokens.isEmpty() ? Double.POSITIVE_INFINITY
				: (this.tokens.get(0).nanos - this.start) / NANOS_PER_SECOND;
	}

	/**
	 * Returns the time from an event to the first token.
	 * @param event time of the event, from {@link System#nanoTime()}
	 * @return time in seconds
	 */
	public double firstTokenSecondsAfter(long event) {
		return (this.tokens.get(0).nanos - event) / NANOS_PER_SECOND;
	}

	/**
	 * Returns the first runner of the chain that sent the last token.
	 * @return name of the runner
	 */
	public String runner() {
		return (this.lastEvent != null) ? this.lastEvent.substring(this.lastEvent.indexOf('@') + 1) : "";
	}

	/**
	 * Returns the longest time between two tokens.
	 * @return time in seconds, 0 for fewer than two tokens
	 */
	public double longestGapSeconds() {
		long longest = 0;
		for (int i = 1; i < this.tokens.size(); i++) {
			longest = Math.max(longest, this.tokens.get(i).nanos - this.tokens.get(i - 1).nanos);
		}
		return longest / NANOS_PER_SECOND;
	}

	/**
	 * Returns the time from the request to the last token.
	 * @return time in seconds
	 */
	public double totalSeconds() {
		return this.tokens.isEmpty() ? 0
				: (this.tokens.get(this.tokens.size() - 1).nanos - this.start) / NANOS_PER_SECOND;
	}

	/**
	 * Returns the identifier of the last event.
	 * @return the identifier, or {@code null} if none arrived
	 */
	public @Nullable String lastEvent() {
		return this.lastEvent;
	}

	/**
	 * Returns the position of each token, in the order of arrival.
	 * @return the positions
	 * @throws IllegalArgumentException if a token came without a valid position
	 */
	public List<EventId> positions() {
		return this.tokens.stream().map((token) -> EventId.parse(String.valueOf(token.event))).toList();
	}

	/**
	 * Returns the HTTP status.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns why the reply is not whole.
	 * @return the reason, or {@code null}
	 */
	public @Nullable String fault() {
		return this.fault;
	}

	private record Token(long nanos, int index, String text, @Nullable String event) {

	}

}
