package io.bilberryvalve.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.jspecify.annotations.Nullable;

/**
 * One request to an upstream, the listener for its response, and whether it has ended.
 */
public final class UpstreamCall {

	private final FullHttpRequest request;

	private final UpstreamListener listener;

	private final @Nullable String attemptHeader;

	private final @Nullable String attemptId;

	private final boolean requiresNewConnection;

	private @Nullable Channel channel;

	private @Nullable ReadControl reading;

	private boolean ended;

	private boolean paused;

	/**
	 * Creates a call.
	 * @param method method of the request
	 * @param target the request target
	 * @param headers headers of the request, sent unchanged
	 * @param body the body; its ownership passes to the call
	 * @param onNewConnection whether the request must use a new connection instead of an
	 * idle one of the pool
	 * @param attemptHeader header that identifies the attempt in the request and in the
	 * response, or {@code null} if responses are not checked
	 * @param listener receives the response on the event loop of the connection
	 */
	public UpstreamCall(HttpMethod method, String target, HttpHeaders headers, ByteBuf body, boolean onNewConnection,
			@Nullable String attemptHeader, UpstreamListener listener) {
		this.request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method, target, body);
		this.request.headers().set(headers);
		this.listener = listener;
		this.attemptHeader = attemptHeader;
		this.attemptId = (attemptHeader != null) ? headers.get(attemptHeader) : null;
		this.requiresNewConnection = onNewConnection;
	}

	FullHttpRequest request() {
		return this.request;
	}

	UpstreamListener listener() {
		return this.listener;
	}

	boolean requiresNewConnection() {
		return this.requiresNewConnection;
	}

	/**
	 * Returns whether responses are checked for the attempt that they answer.
	 * @return {@code true} if upstreams repeat the identifier of the attempt
	 */
	boolean checksAttempt() {
		return this.attemptHeader != null;
	}

	/**
	 * Returns whether no other request may follow on the connection. It may not where
	 * only the connection tells to which request a response belongs.
	 * @return {@code true} to close the connection after the response
	 */
	boolean closesConnection() {
		return this.attemptHeader == null && this.requiresNewConnection;
	}

	/**
	 * Returns whether a response names the attempt of the request.
	 * @param response headers of the response
	 * @return {@code true} if the response belongs to this attempt
	 */
	boolean isNamedIn(HttpHeaders response) {
		return this.attemptHeader != null && this.attemptId != null
				&& this.attemptId.equals(response.get(this.attemptHeader));
	}

	/**
	 * Returns whether a response belongs to another attempt.
	 * @param response headers of the response
	 * @return {@code true} if the response names an attempt other than that of the
	 * request
	 */
	boolean belongsToOtherAttempt(HttpHeaders response) {
		String named = (this.attemptHeader != null) ? response.get(this.attemptHeader) : null;
		return named != null && !named.equals(this.attemptId);
	}

	void attach(Channel connection, ReadControl control) {
		this.channel = connection;
		this.reading = control;
		control.setPaused(this.paused);
	}

	boolean isEnded() {
		return this.ended;
	}

	/**
	 * Marks the call as ended.
	 * @return {@code true} if it had not ended before
	 */
	boolean finish() {
		boolean first = !this.ended;
		this.ended = true;
		return first;
	}

	void notifyConnectionRefused() {
		if (!this.ended) {
			this.listener.onConnectionRefused();
		}
	}

	void fail(boolean sent, String reason) {
		if (finish()) {
			this.listener.onFailure(sent, reason);
		}
	}

	/**
	 * Cancels the request. Its connection is closed, so that the runner can stop working
	 * on it.
	 */
	public void cancel() {
		Channel connection = this.channel;
		if (finish() && connection != null) {
			connection.close();
		}
	}

	/**
	 * Pauses or resumes reading the response.
	 * @param pause {@code true} to pause, {@code false} to resume
	 */
	public void setPaused(boolean pause) {
		this.paused = pause;
		ReadControl control = this.reading;
		if (control != null && !this.ended) {
			control.setPaused(pause);
		}
	}

	/**
	 * Counts an event of the response, so that the upstream is slowed down if it sends
	 * too many. Chunks of the response are counted by the connection.
	 */
	public void countEvent() {
		ReadControl control = this.reading;
		if (control != null) {
			control.countPart();
		}
	}

}
