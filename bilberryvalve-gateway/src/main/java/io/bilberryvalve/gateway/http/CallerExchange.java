package io.bilberryvalve.gateway.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Request of a caller and the response to it. Must be used on the event loop of the
 * connection only.
 */
public final class CallerExchange {

	private static final Runnable NO_ACTION = () -> {
	};

	private final CallerConnection connection;

	private final ChannelHandlerContext context;

	private final FullHttpRequest request;

	private final boolean keepAlive;

	private Runnable onDisconnect = NO_ACTION;

	private Runnable onWritabilityChanged = NO_ACTION;

	private boolean started;

	/** Whether the head of the response announced that the connection stays open. */
	private boolean announcedKeepAlive;

	private boolean ended;

	CallerExchange(CallerConnection connection, ChannelHandlerContext context, FullHttpRequest request) {
		this.connection = connection;
		this.context = context;
		this.request = request;
		this.keepAlive = isComplete(request) && HttpUtil.isKeepAlive(request);
	}

	// Returns whether another request can follow. The rest of a body that is too long is
	// dropped, unless its caller waits for permission and may not send it.
	private static boolean isComplete(FullHttpRequest request) {
		DecoderResult result = request.decoderResult();
		return result.isSuccess()
				|| (result.cause() instanceof TooLongHttpContentException && !HttpUtil.is100ContinueExpected(request));
	}

	/**
	 * Returns the request.
	 * @return the whole request; it is released when the exchange ends
	 */
	public FullHttpRequest request() {
		return this.request;
	}

	/**
	 * Returns the channel context of the connection.
	 * @return the context, which gives the event loop and the address of the caller
	 */
	public ChannelHandlerContext context() {
		return this.context;
	}

	/**
	 * Sets the action to run when the connection closes before the response is complete.
	 * @param action runs once at most, on the event loop of the connection
	 */
	public void onDisconnect(Runnable action) {
		this.onDisconnect = action;
	}

	/**
	 * Sets the action to run when the connection becomes writable or stops being
	 * writable.
	 * @param action runs on the event loop of the connection until the exchange ends
	 */
	public void onWritabilityChanged(Runnable action) {
		this.onWritabilityChanged = action;
	}

	/**
	 * Returns whether the connection accepts more data now.
	 * @return {@code false} while too much written data is still buffered
	 */
	public boolean isWritable() {
		return this.context.channel().isWritable();
	}

	/**
	 * Returns whether the head of the response was sent.
	 * @return {@code true} once a response has been started, complete or in parts
	 */
	public boolean isStarted() {
		return this.started;
	}

	/**
	 * Sends a complete response.
	 * @param status status of the response
	 * @param headers headers without framing
	 * @param body the body; its ownership passes to this exchange
	 */
	public void respond(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {
		if (this.ended) {
			body.release();
			return;
		}
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body);
		response.headers().set(headers);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
		setConnectionHeader(response);
		this.started = true;
		finish(this.context.writeAndFlush(response), this.announcedKeepAlive);
	}

	/**
	 * Sends a short text as the complete response.
	 * @param status status of the response
	 * @param headers headers without framing
	 * @param text the body, sent as UTF-8
	 */
	public void respond(HttpResponseStatus status, HttpHeaders headers, String text) {
		respond(status, headers, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
	}

	/**
	 * Sends the head of a response whose body follows in parts.
	 * @param response status and headers without framing
	 */
	public void start(HttpResponse response) {
		this.started = true;
		response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
		setConnectionHeader(response);
		this.context.write(response);
	}

	/**
	 * Sends a part of the body.
	 * @param content the bytes; their ownership passes to this exchange
	 */
	public void write(ByteBuf content) {
		if (this.ended) {
			content.release();
		}
		else {
			this.context.write(new DefaultHttpContent(content));
		}
	}

	/**
	 * Flushes the parts that have been written.
	 */
	public void flush() {
		this.context.flush();
	}

	/**
	 * Ends a response that was sent in parts.
	 */
	public void end() {
		if (!this.ended) {
			finish(this.context.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT), this.announcedKeepAlive);
		}
	}

	/**
	 * Closes the connection, so that the caller does not take the response for complete.
	 */
	public void abort() {
		if (!this.ended) {
			finish(this.context.newSucceededFuture(), false);
		}
	}

	private void setConnectionHeader(HttpResponse response) {
		this.announcedKeepAlive = this.keepAlive && !this.connection.closesAfterResponse();
		HttpUtil.setKeepAlive(response, this.announcedKeepAlive);
	}

	private void finish(ChannelFuture written, boolean keep) {
		this.ended = true;
		this.request.release();
		if (!keep) {
			written.addListener(ChannelFutureListener.CLOSE);
		}
		this.connection.onExchangeEnded(keep);
	}

	void disconnected() {
		if (!this.ended) {
			this.ended = true;
			this.onDisconnect.run();
			this.request.release();
		}
	}

	void writabilityChanged() {
		if (!this.ended) {
			this.onWritabilityChanged.run();
		}
	}

}
