package io.bilberryvalve.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Handles one connection to a runner, with one request at a time. Bytes that arrive while
 * no request is in progress close the connection. A response to another attempt is
 * skipped, as are preliminary responses, up to a limit. An error that names no attempt is
 * accepted only on a connection that has carried nothing else, since a runner may write
 * an earlier refusal once more.
 */
final class UpstreamConnection extends ChannelInboundHandlerAdapter {

	/**
	 * Idle time of a connection to a runner that states no timeout; such runners close
	 * idle connections soon.
	 */
	private static final long DEFAULT_IDLE_MILLIS = 300;

	/**
	 * Subtracted from the stated timeout, so that no request is on its way while the
	 * runner closes the connection.
	 */
	private static final long IDLE_MARGIN_MILLIS = 700;

	private static final long MAX_IDLE_MILLIS = 10_000;

	/**
	 * Largest number of bytes that are skipped before the head of the response: those of
	 * preliminary responses, of responses to other attempts, and bytes that are no
	 * response.
	 */
	private static final long MAX_SKIPPED_BYTES = 1 << 20;

	/**
	 * Largest number of responses that are skipped before the one to the request. Each
	 * costs as much work as a response that is used.
	 */
	private static final int MAX_SKIPPED_RESPONSES = 16;

	private static final String KEEP_ALIVE = "keep-alive";

	private static final String KEEP_ALIVE_TIMEOUT = "timeout=";

	private final UpstreamPool pool;

	private final String key;

	private final ResponseDecoder decoder = new ResponseDecoder(this::isHeadRequested);

	private @Nullable ChannelHandlerContext context;

	private @Nullable ReadControl reading;

	private @Nullable UpstreamCall call;

	private boolean written;

	private boolean skippingResponse;

	/** Bytes received since the request was sent, before the head of its response. */
	private long skippedBytes;

	/** Responses skipped since the request was sent. */
	private int skippedResponses;

	private boolean headReceived;

	private boolean requestSent;

	/** Whether a request was sent before the current one. */
	private boolean reused;

	/** Whether a response to another attempt has arrived. */
	private boolean foreignReceived;

	private boolean reusable = true;

	/**
	 * Whether the response is a success without framing. If the runner stops behind the
	 * head, nothing but the missing body shows that the response is not complete.
	 */
	private boolean requiresBody;

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
		ChannelHandlerContext ctx = this.context;
		return ctx != null && ctx.channel().isActive() && millis < this.idleUntil;
	}

	void close() {
		ChannelHandlerContext ctx = this.context;
		if (ctx != null) {
			ctx.close();
		}
	}

	/**
	 * Sends a request.
	 * @param next call to send; no other call may be in progress
	 */
	void send(UpstreamCall next) {
		ChannelHandlerContext ctx = this.context;
		ReadControl control = this.reading;
		if (ctx == null || control == null) {
			throw new IllegalStateException("the connection is not open");
		}
		this.reused = this.requestSent;
		this.requestSent = true;
		this.call = next;
		this.written = false;
		this.headReceived = false;
		this.skippedBytes = 0;
		this.skippedResponses = 0;
		next.attach(ctx.channel(), control);
		ctx.writeAndFlush(next.request()).addListener((done) -> {
			this.written = true;
			if (!done.isSuccess()) {
				fail("request not written: " + done.cause());
			}
		});
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
		this.reading = new ReadControl(added.channel(), this.pool::millis);
	}

	/**
	 * Returns the handlers of this connection.
	 * @return handlers for an empty pipeline, in order
	 */
	ChannelHandler[] handlers() {
		return new ChannelHandler[] { byteCounter(), new HttpRequestEncoder(), this.decoder, this };
	}

	private boolean isHeadRequested() {
		UpstreamCall current = this.call;
		return current != null && HttpMethod.HEAD.equals(current.request().method());
	}

	// Precedes the decoder, which drops some bytes and keeps others until it has a whole
	// head.
	private ChannelInboundHandlerAdapter byteCounter() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext ctx, Object message) {
				if (UpstreamConnection.this.call == null) {
					ReferenceCountUtil.release(message);
					ctx.close();
					return;
				}
				if (message instanceof ByteBuf bytes && countSkipped(bytes.readableBytes())) {
					bytes.release();
					fail("no response within " + MAX_SKIPPED_BYTES + " bytes");
					return;
				}
				ctx.fireChannelRead(message);
			}

		};
	}

	private boolean countSkipped(int bytes) {
		if (!this.headReceived) {
			this.skippedBytes += bytes;
		}
		return this.skippedBytes > MAX_SKIPPED_BYTES;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			ReadControl control = this.reading;
			if (control != null) {
				control.countPart();
			}
			UpstreamCall current = this.call;
			if (current == null || current.isEnded()) {
				ctx.close();
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
		current.listener().onAnyHead(head);
		boolean informational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		boolean foreign = current.belongsToOtherAttempt(headers);
		if (!informational && !foreign && mayAnswerEarlierRequest(current, head)) {
			fail("the response may answer an earlier request");
			return;
		}
		this.foreignReceived |= foreign;
		this.skippingResponse = informational || foreign;
		if (this.skippingResponse && ++this.skippedResponses > MAX_SKIPPED_RESPONSES) {
			fail("no response to the request among " + this.skippedResponses);
			return;
		}
		this.receivedBytes = 0;
		this.expectedBytes = HttpUtil.isTransferEncodingChunked(head) ? -1 : HttpUtil.getContentLength(head, -1L);
		boolean unframed = this.expectedBytes < 0 && !HttpUtil.isTransferEncodingChunked(head);
		this.requiresBody = unframed && head.status().codeClass() == HttpStatusClass.SUCCESS
				&& !head.status().equals(HttpResponseStatus.NO_CONTENT) && !isHeadRequested();
		if (!informational) {
			this.reusable = !this.foreignReceived && !unframed && HttpUtil.isKeepAlive(head);
			this.idleMillis = parseIdleMillis(headers);
		}
		if (!this.skippingResponse) {
			this.headReceived = true;
			this.skippedBytes = 0;
			current.listener().onHead(head);
		}
	}

	// A success promises nothing about the request, but an error without an identifier
	// may be the refusal of an earlier one.
	private boolean mayAnswerEarlierRequest(UpstreamCall current, HttpResponse head) {
		if (!current.checksAttempt() || current.isNamedIn(head.headers())) {
			return false;
		}
		return this.foreignReceived || (this.reused && head.status().codeClass() != HttpStatusClass.SUCCESS);
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
		if (this.expectedBytes >= 0 && this.receivedBytes != this.expectedBytes && !isHeadRequested()) {
			fail("response ended after " + this.receivedBytes + " of " + this.expectedBytes + " bytes");
			return;
		}
		if (this.requiresBody && this.receivedBytes == 0) {
			fail("response ended without a body");
			return;
		}
		this.call = null;
		current.finish();
		ReadControl control = this.reading;
		boolean keep = this.reusable && this.written && !this.decoder.hasUnreadBytes() && !current.closesConnection();
		if (keep && control != null && !control.isThrottled()) {
			control.setPaused(false);
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
	public void channelReadComplete(ChannelHandlerContext ctx) {
		UpstreamCall current = this.call;
		if (current != null && !current.isEnded()) {
			current.listener().onReadComplete();
		}
		ReadControl control = this.reading;
		if (control != null) {
			control.readCompleted();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.pool.remove(this);
		fail("connection closed by the runner");
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		fail("connection failed: " + cause.getMessage());
	}

}
