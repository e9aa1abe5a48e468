package io.bilberryvalve.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * A connection to a runner. It carries one request at a time. Bytes that arrive while no
 * request is in progress close it, and a response to another request is skipped.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Kept without a time stated by the runner; such runners close idle connections soon.
	 */
	private static final long DEFAULT_IDLE_MILLIS = 300;

	/** Margin before the stated time, for a request that crosses the close on the way. */
	private static final long IDLE_MARGIN_MILLIS = 700;

	private static final long MAX_IDLE_MILLIS = 10_000;

	private static final String KEEP_ALIVE = "keep-alive";

	private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

	private final UpstreamPool pool;

	private final String key;

	private @Nullable ChannelHandlerContext context;

	private @Nullable UpstreamCall call;

	private boolean written;

	private boolean skippingResponse;

	private boolean reusable = true;

	private long expectedBytes;

	private long receivedBytes;

	private long idleMillis = DEFAULT_IDLE_MILLIS;

	private long idleUntil;

	UpstreamConnection(UpstreamPool pool, String key) {
		this.pool = pool;
		this.key = key;
	}

	String key() {
		return this.key;
	}

	boolean isUsableAt(long millis) {
		ChannelHandlerContext own = this.context;
		return own != null && own.channel().isActive() && millis < this.idleUntil;
	}

	void close() {
		ChannelHandlerContext own = this.context;
		if (own != null) {
			own.close();
		}
	}

	/**
	 * Sends a request.
	 * @param next the call
	 */
	void send(UpstreamCall next) {
		ChannelHandlerContext own = this.context;
		if (own == null) {
			throw new IllegalStateException("the connection is not open");
		}
		this.call = next;
		this.written = false;
		next.attach(own.channel());
		own.writeAndFlush(next.request()).addListener((done) -> {
			this.written = true;
			if (!done.isSuccess()) {
				fail("request not written: " + done.cause());
			}
		});
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelRead(ChannelHandlerContext own, Object message) {
		try {
			UpstreamCall current = this.call;
			if (current == null || current.isEnded()) {
				own.close();
			}
			else if (((HttpObject) message).decoderResult().isFailure()) {
				fail("malformed response: " + ((HttpObject) message).decoderResult().cause().getMessage());
			}
			else {
				handlePart(current, message);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void handlePart(UpstreamCall current, Object message) {
		if (message instanceof HttpResponse head) {
			startResponse(current, head);
		}
		if (message instanceof HttpContent content && this.call == current) {
			if (!this.skippingResponse) {
				ByteBuf bytes = content.content();
				this.receivedBytes += bytes.readableBytes();
				if (bytes.isReadable()) {
					current.listener().onContent(bytes);
				}
			}
			if (message instanceof LastHttpContent && !current.isEnded()) {
				endResponse(current);
			}
		}
	}

	private void startResponse(UpstreamCall current, HttpResponse head) {
		HttpHeaders headers = head.headers();
		boolean informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		boolean foreign = current.belongsToOtherAttempt(headers);
		this.skippingResponse = informational || foreign;
		this.receivedBytes = 0;
		this.expectedBytes = HttpUtil.isTransferEncodingChunked(head) ? -1 : HttpUtil.getContentLength(head, -1L);
		boolean unframed = this.expectedBytes < 0 && !HttpUtil.isTransferEncodingChunked(head);
		if (!informational) {
			this.reusable = !foreign && !unframed && HttpUtil.isKeepAlive(head);
			this.idleMillis = parseIdleMillis(headers);
		}
		if (!this.skippingResponse) {
			current.listener().onHead(head);
		}
	}

	private static long parseIdleMillis(HttpHeaders headers) {
		String value = headers.get(KEEP_ALIVE);
		int at = (value != null) ? value.indexOf(KEEP_ALIVE_TIMEOUT) : -1;
		if (value == null || at < 0) {
			return DEFAULT_IDLE_MILLIS;
		}
		int start = at + KEEP_ALIVE_TIMEOUT.length();
		int end = start;
		while (end < value.length() && Character.isDigit(value.charAt(end))) {
			end++;
		}
		long seconds = (end > start && end - start < 6) ? Long.parseLong(value.substring(start, end)) : 0;
		return Math.min(MAX_IDLE_MILLIS, Math.max(DEFAULT_IDLE_MILLIS, seconds * 1000 - IDLE_MARGIN_MILLIS));
	}

	private void endResponse(UpstreamCall current) {
		if (this.skippingResponse) {
			this.skippingResponse = false;
			return;
		}
		if (this.expectedBytes >= 0 && this.receivedBytes != this.expectedBytes
				&& !current.request().method().name().equals("HEAD")) {
			fail("response ended after " + this.receivedBytes + " of " + this.expectedBytes + " bytes");
			return;
		}
		this.call = null;
		current.finish();
		ChannelHandlerContext own = this.context;
		if (this.reusable && this.written && own != null) {
			own.channel().config().setAutoRead(true);
			this.idleUntil = this.pool.millis() + this.idleMillis;
			this.pool.release(this);
		}
		else {
			close();
		}
		current.listener().onEnd();
	}

	private void fail(String reason) {
		UpstreamCall current = this.call;
		this.call = null;
		close();
		if (current != null) {
			current.fail(true, reason);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext own) {
		UpstreamCall current = this.call;
		if (current != null && !current.isEnded()) {
			current.listener().onReadComplete();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext own) {
		this.pool.remove(this);
		fail("connection closed by the runner");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext own, Throwable cause) {
		fail("connection failed: " + cause.getMessage());
	}

}
