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
 * One request to an upstream and its progress.
 */
public final class UpstreamCall {

	private final FullHttpRequest request;

	private final UpstreamListener listener;

	private final @Nullable String attemptHeader;

	private final @Nullable String attemptId;

	private final boolean requiresNewConnection;

	private @Nullable Channel channel;

	private boolean ended;

	private boolean paused;

	/**
	 * Creates a call.
	 * @param method the method
	 * @param target the request target
	 * @param headers the headers, without framing
	 * @param body the body; the call takes it over
	 * @param onNewConnection whether the request must not use a kept connection
	 * @param attemptHeader header that identifies the response, or {@code null}
	 * @param listener receives the response
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
	 * Tells whether a response belongs to another request.
	 * @param response headers of the response
	 * @return whether it names another attempt
	 */
	boolean belongsToOtherAttempt(HttpHeaders response) {
		if (this.attemptHeader == null || this.attemptId == null) {
			return false;
		}
		String named = response.get(this.attemptHeader);
		return named != null && !named.equals(this.attemptId);
	}

	void attach(Channel connection) {
		this.channel = connection;
		if (this.paused) {
			connection.config().setAutoRead(false);
		}
	}

	boolean isEnded() {
		return this.ended;
	}

	/**
	 * Ends the call.
	 * @return whether it had not ended before
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
	 * Gives the request up. Its connection is closed, so that the runner can stop.
	 */
	public void cancel() {
		Channel connection = this.channel;
		if (finish() && connection != null) {
			connection.close();
		}
	}

	/**
	 * Stops or continues reading the response.
	 * @param pause whether to stop
	 */
	public void setPaused(boolean pause) {
		this.paused = pause;
		Channel connection = this.channel;
		if (connection != null && !this.ended) {
			connection.config().setAutoRead(!pause);
		}
	}

}
