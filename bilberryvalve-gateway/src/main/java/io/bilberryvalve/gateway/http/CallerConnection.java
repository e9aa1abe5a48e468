package io.bilberryvalve.gateway.http;

import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

import io.bilberryvalve.model.log.LogEvent;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
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

	private final CallerServer server;

	private final Consumer<CallerExchange> handler;

	private final Clock clock;

	private final HeaderTimer headerTimer;

	private final Deque<FullHttpRequest> pipelinedRequests = new ArrayDeque<>();

	private @Nullable ChannelHandlerContext context;

	private @Nullable CallerExchange current;

	private long idleSince;

	private boolean closed;

	CallerConnection(CallerServer server, Consumer<CallerExchange> handler, Clock clock, HeaderTimer head) {
		this.server = server;
		this.handler = handler;
		this.clock = clock;
		this.headerTimer = head;
		this.idleSince = clock.millis();
	}

	boolean isServerDraining() {
		return this.server.isDraining();
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
		if (this.current != null || !this.pipelinedRequests.isEmpty()) {
			this.pipelinedRequests.addLast(request);
			if (this.pipelinedRequests.size() >= MAX_PIPELINED) {
				ctx.channel().config().setAutoRead(false);
			}
			return;
		}
		startExchange(ctx, request);
	}

	private void startExchange(ChannelHandlerContext ctx, FullHttpRequest request) {
		CallerExchange exchange = new CallerExchange(this, ctx, request);
		this.current = exchange;
		if (request.decoderResult().isFailure()) {
			boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
			HttpResponseStatus status = tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
					: HttpResponseStatus.BAD_REQUEST;
			this.closed = true;
			exchange.respond(status, new DefaultHttpHeaders(), "the request is not valid HTTP");
			ctx.close();
			return;
		}
		this.handler.accept(exchange);
	}

	void onExchangeEnded(boolean keep) {
		this.current = null;
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

	// A request stays in the queue until it is started, so that no later one overtakes
	// it, and it is dropped if the connection closes before.
	private void startNext(ChannelHandlerContext ctx) {
		FullHttpRequest next = (this.closed || this.current != null) ? null : this.pipelinedRequests.pollFirst();
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
		if (ctx == null || this.closed || this.current != null || !this.headerTimer.isIncompleteFor(millis)) {
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
	 * Closes the connection if it has no request in progress and has been idle for at
	 * least the given time.
	 * @param millis time in milliseconds; 0 closes any connection without a request
	 */
	void closeIdle(long millis) {
		ChannelHandlerContext ctx = this.context;
		if (this.current == null && this.pipelinedRequests.isEmpty() && ctx != null
				&& this.clock.millis() - this.idleSince >= millis) {
			ctx.close();
		}
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
