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
	private static final long UNSTATED_IDLE_MILLIS = 300;

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

	private boolean skipping;

	private boolean reusable = true;

	private long expectedLength;

	private long received;

	private long idleMillis = UNSTATED_IDLE_MILLIS;

	private long idleUntil;

	UpstreamConnection(UpstreamPool pool, String key) {
		this.pool = pool;
		this.key = key;
	}

	String key() {
		return this.key;
	}

	boolean usableAt(long millis) {
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
		next.start(own.channel());
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
			if (current == null || current.ended()) {
				own.close();
			}
			else if (((HttpObject) message).decoderResult().isFailure()) {
				fail("malformed response: " + ((HttpObject) message).decoderResult().cause().getMessage());
			}
			else {
				read(current, message);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void read(UpstreamCall current, Object message) {
		if (message instanceof HttpResponse head) {
			startResponse(current, head);
		}
		if (message instanceof HttpContent content && this.call == current) {
			if (!this.skipping) {
				ByteBuf bytes = content.content();
				this.received += bytes.readableBytes();
				if (bytes.isReadable()) {
					current.listener().content(bytes);
				}
			}
			if (message instanceof LastHttpContent && !current.ended()) {
				endResponse(current);
			}
		}
	}

	private void startResponse(UpstreamCall current, HttpResponse head) {
		HttpHeaders headers = head.headers();
		boolean informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		boolean foreign = current.isForeign(headers);
		this.skipping = informational || foreign;
		this.received = 0;
		this.expectedLength = HttpUtil.isTransferEncodingChunked(head) ? -1 : HttpUtil.getContentLength(head, -1L);
		boolean unframed = this.expectedLength < 0 && !HttpUtil.isTransferEncodingChunked(head);
		if (!informational) {
			this.reusable = !foreign && !unframed && HttpUtil.isKeepAlive(head);
			this.idleMillis = idleMillis(headers);
		}
		if (!this.skipping) {
			current.listener().head(head);
		}
	}

	private static long idleMillis(HttpHeaders headers) {
		String value = headers.get(KEEP_ALIVE);
		int at = (value != null) ? value.indexOf(KEEP_ALIVE_TIMEOUT) : -1;
		if (value == null || at < 0) {
			return UNSTATED_IDLE_MILLIS;
		}
		int start = at + KEEP_ALIVE_TIMEOUT.length();
		int end = start;
		while (end < value.length() && Character.isDigit(value.charAt(end))) {
			end++;
		}
		long seconds = (end > start && end - start < 6) ? Long.parseLong(value.substring(start, end)) : 0;
		return Math.min(MAX_IDLE_MILLIS, Math.max(UNSTATED_IDLE_MILLIS, seconds * 1000 - IDLE_MARGIN_MILLIS));
	}

	private void endResponse(UpstreamCall current) {
		if (this.skipping) {
			this.skipping = false;
			return;
		}
		if (this.expectedLength >= 0 && this.received != this.expectedLength
				&& !current.request().method().name().equals("HEAD")) {
			fail("response ended after " + this.received + " of " + this.expectedLength + " bytes");
			return;
		}
		this.call = null;
		current.finish();
		ChannelHandlerContext own = this.context;
		if (this.reusable && this.written && own != null) {
			own.channel().config().setAutoRead(true);
			this.idleUntil = this.pool.millis() + this.idleMillis;
			this.pool.keep(this);
		}
		else {
			close();
		}
		current.listener().end();
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
		if (current != null && !current.ended()) {
			current.listener().readComplete();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext own) {
		this.pool.forget(this);
		fail("connection closed by the runner");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext own, Throwable cause) {
		fail("connection failed: " + cause.getMessage());
	}

}
