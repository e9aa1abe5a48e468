package io.bilberryvalve.gateway.http;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.bilberryvalve.model.log.LogEvent;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Handles one connection of a caller. Requests are handled one at a time; pipelined
 * requests are queued.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final System.Logger LOGGER = System.getLogger(CallerConnection.class.getName());

	/** Number of queued pipelined requests at which reading from the connection stops. */
	private static final int MAX_PIPELINED = 8;

	/**
	 * Time in milliseconds after which a connection is closed if its caller reads nothing
	 * of an answer. It does not depend on the idle timeout, which may be shorter than a
	 * disturbance of the network.
	 */
	private static final long UNREAD_ANSWER_MILLIS = 30_000;

	/**
	 * Shortest time in milliseconds that a caller has to send a whole request, if the
	 * idle timeout is shorter.
	 */
	private static final long MIN_RECEIVE_MILLIS = 15_000;

	/**
	 * Longest time in milliseconds between reading from a connection and closing it as
	 * idle. A request that arrives in this time is lost, as one that crosses the close on
	 * the network.
	 */
	private static final long MAX_READ_AGE_MILLIS = 50;

	private final CallerServer server;

	private final Consumer<CallerExchange> handler;

	private final Clock clock;

	private final HeaderTimer headerTimer;

	private final Deque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();

	private volatile @Nullable ChannelHandlerContext context;

	private @Nullable CallerExchange current;

	private volatile boolean inProgress;

	private long idleSince;

	/** State of the outbound buffer when it last changed, to detect a stalled caller. */
	private long unsentState;

	private long unsentSince;

	private boolean closed;

	CallerConnection(CallerServer server, Consumer<CallerExchange> handler, Clock clock, HeaderTimer head) {
		this.server = server;
		this.handler = handler;
		this.clock = clock;
		this.headerTimer = head;
		this.idleSince = clock.millis();
	}

	/**
	 * Returns whether the connection closes after the response that is sent next. While
	 * the server is draining, requests that were read already are still answered.
	 * @return {@code true} if the server is draining and no other request is queued
	 */
	boolean closesAfterResponse() {
		return this.server.isDraining() && this.pipelinedRequests.isEmpty();
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (this.closed || !(message instanceof FullHttpRequest request)) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (hasRequest()) {
			this.pipelinedRequests.addLast(request);
			if (this.pipelinedRequests.size() >= MAX_PIPELINED) {
				ctx.channel().config().setAutoRead(false);
			}
			return;
		}
		startExchange(ctx, request);
	}

	/**
	 * Returns whether a request that was read has no complete response yet.
	 * @return whether no response to a later request may be written
	 */
	boolean hasRequest() {
		return this.current != null || !this.pipelinedRequests.isEmpty();
	}

	/**
	 * Returns whether a request was read that has no answer yet, or an answer is not sent
	 * completely. Safe for use by any thread.
	 * @return whether closing the connection would lose an answer
	 */
	boolean isUnfinished() {
		ChannelHandlerContext ctx = this.context;
		ChannelOutboundBuffer buffer = (ctx != null) ? ctx.channel().unsafe().outboundBuffer() : null;
		return this.inProgress || (buffer != null && buffer.totalPendingWriteBytes() > 0);
	}

	private void startExchange(ChannelHandlerContext ctx, FullHttpRequest request) {
		CallerExchange exchange = new CallerExchange(this, ctx, request);
		this.current = exchange;
		this.inProgress = true;
		if (request.decoderResult().isFailure()) {
			reject(exchange, request.decoderResult().cause());
			return;
		}
		this.handler.accept(exchange);
	}

	private static void reject(CallerExchange exchange, Throwable cause) {
		if (cause instanceof TooLongHttpContentException) {
			exchange.respond(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, new DefaultHttpHeaders(), "");
		}
		else {
			HttpResponseStatus status = (cause instanceof TooLongFrameException)
					? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST;
			exchange.respond(status, new DefaultHttpHeaders(), "the request is not valid HTTP");
		}
	}

	void onExchangeEnded(boolean keep) {
		this.current = null;
		this.inProgress = keep && !this.pipelinedRequests.isEmpty();
		this.idleSince = this.clock.millis();
		ChannelHandlerContext ctx = this.context;
		if (!keep) {
			this.closed = true;
		}
		else if (ctx != null) {
			ctx.channel().config().setAutoRead(true);
			if (!this.pipelinedRequests.isEmpty()) {
				ctx.executor().execute(() -> startNext(ctx));
			}
		}
	}

	// A request that waits stays queued until its exchange starts, so that those that
	// arrive in between are queued behind it.
	private void startNext(ChannelHandlerContext ctx) {
		FullHttpRequest next = ctx.channel().isActive() ? this.pipelinedRequests.pollFirst() : null;
		if (next != null) {
			startExchange(ctx, next);
		}
	}

	/**
	 * Responds with status 408 and closes the connection if the head of a request has
	 * been incomplete for too long.
	 * @param millis time in milliseconds that a caller has to send a head
	 */
	void rejectSlowHead(long millis) {
		ChannelHandlerContext ctx = this.context;
		if (ctx == null || this.closed || hasRequest() || !this.headerTimer.isIncompleteFor(millis)) {
			return;
		}
		this.closed = true;
		LogEvent.of("slow-head")
			.with("caller", ctx.channel().remoteAddress())
			.with("limit-ms", millis)
			.log(LOGGER, System.Logger.Level.INFO);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.REQUEST_TIMEOUT);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		HttpUtil.setKeepAlive(response, false);
		ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	/**
	 * Closes the connection if it has no request in progress, has sent all answers, and
	 * has been idle for at least the given time; or if its caller has read nothing of an
	 * answer, or has not completed a request, for too long.
	 * @param millis time in milliseconds; 0 closes any connection on which no part of a
	 * request was received
	 */
	void closeIdle(long millis) {
		ChannelHandlerContext ctx = this.context;
		if (ctx == null || hasRequest()) {
			return;
		}
		long now = this.clock.millis();
		if (isSending(ctx, now)) {
			closeIf(ctx, now - this.unsentSince >= UNREAD_ANSWER_MILLIS);
		}
		else if (!this.closed && this.headerTimer.isReceiving()) {
			closeIf(ctx, this.headerTimer.isReceivingFor(Math.max(millis, MIN_RECEIVE_MILLIS)));
		}
		else if (isIdleFor(millis)) {
			closeAfterNextRead(ctx, millis);
		}
	}

	private boolean isIdleFor(long millis) {
		return !this.closed && !hasRequest() && !this.headerTimer.isReceiving()
				&& this.clock.millis() - this.idleSince >= millis;
	}

	// Tasks scheduled on the event loop run only after the loop has read from its
	// sockets, so that a request that was already there is handled. After a long pass of
	// the loop, requests may have arrived since it read; then the next check decides.
	private void closeAfterNextRead(ChannelHandlerContext ctx, long millis) {
		long scheduledAt = this.clock.millis();
		ctx.executor().schedule(() -> {
			boolean readLately = this.clock.millis() - scheduledAt <= MAX_READ_AGE_MILLIS;
			closeIf(ctx, readLately && isIdleFor(millis) && !isSending(ctx, this.clock.millis()));
		}, 1, TimeUnit.MILLISECONDS);
	}

	private static void closeIf(ChannelHandlerContext ctx, boolean condition) {
		if (condition) {
			ctx.close();
		}
	}

	private boolean isSending(ChannelHandlerContext ctx, long now) {
		ChannelOutboundBuffer buffer = ctx.channel().unsafe().outboundBuffer();
		if (buffer == null || buffer.totalPendingWriteBytes() == 0) {
			this.unsentState = 0;
			return false;
		}
		long state = buffer.totalPendingWriteBytes() - buffer.currentProgress();
		if (state != this.unsentState) {
			this.unsentState = state;
			this.unsentSince = now;
			this.idleSince = now;
		}
		return true;
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		CallerExchange exchange = this.current;
		if (exchange != null) {
			exchange.writabilityChanged();
		}
		ctx.fireChannelWritabilityChanged();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.closed = true;
		this.inProgress = false;
		this.pipelinedRequests.forEach(ReferenceCountUtil::release);
		this.pipelinedRequests.clear();
		CallerExchange exchange = this.current;
		if (exchange != null) {
			exchange.disconnected();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		LogEvent.of("caller-connection-failed")
			.with("caller", ctx.channel().remoteAddress())
			.with("cause", cause)
			.log(LOGGER, System.Logger.Level.INFO);
		ctx.close();
	}

}
