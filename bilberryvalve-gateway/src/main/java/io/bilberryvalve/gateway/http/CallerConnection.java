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
 * A connection of a caller. It answers one request at a time; pipelined requests wait.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final System.Logger LOGGER = System.getLogger(CallerConnection.class.getName());

	/** Pipelined requests that may wait before the connection is read no further. */
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
	public void channelRead(ChannelHandlerContext own, Object message) {
		if (this.closed || !(message instanceof FullHttpRequest request)) {
			ReferenceCountUtil.release(message);
			return;
		}
		if (this.current != null) {
			this.pipelinedRequests.addLast(request);
			if (this.pipelinedRequests.size() >= MAX_PIPELINED) {
				own.channel().config().setAutoRead(false);
			}
			return;
		}
		startExchange(own, request);
	}

	private void startExchange(ChannelHandlerContext own, FullHttpRequest request) {
		CallerExchange exchange = new CallerExchange(this, own, request);
		this.current = exchange;
		if (request.decoderResult().isFailure()) {
			boolean tooLong = request.decoderResult().cause() instanceof TooLongFrameException;
			HttpResponseStatus status = tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
					: HttpResponseStatus.BAD_REQUEST;
			this.closed = true;
			exchange.respond(status, new DefaultHttpHeaders(), "the request is not valid HTTP");
			own.close();
			return;
		}
		this.handler.accept(exchange);
	}

	void onExchangeEnded(boolean keep) {
		this.current = null;
		this.idleSince = this.clock.millis();
		ChannelHandlerContext own = this.context;
		if (!keep) {
			this.closed = true;
		}
		else if (own != null) {
			FullHttpRequest next = this.pipelinedRequests.pollFirst();
			own.channel().config().setAutoRead(true);
			if (next != null) {
				own.executor().execute(() -> startExchange(own, next));
			}
		}
	}

	/**
	 * Answers 408 and closes the connection if the head of a request stays incomplete.
	 * @param millis time that a caller has for a head
	 */
	void rejectSlowHead(long millis) {
		ChannelHandlerContext own = this.context;
		if (own == null || this.closed || this.current != null || !this.headerTimer.isIncompleteFor(millis)) {
			return;
		}
		this.closed = true;
		LogEvent.of("slow-head")
			.with("caller", own.channel().remoteAddress())
			.with("limit-ms", millis)
			.log(LOGGER, System.Logger.Level.INFO);
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.REQUEST_TIMEOUT);
		response.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
		HttpUtil.setKeepAlive(response, false);
		own.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
	}

	/**
	 * Closes the connection if it has been idle for some time.
	 * @param millis least idle time
	 */
	void closeIdle(long millis) {
		ChannelHandlerContext own = this.context;
		if (this.current == null && own != null && this.clock.millis() - this.idleSince >= millis) {
			own.close();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext own) {
		CallerExchange exchange = this.current;
		if (exchange != null) {
			exchange.writabilityChanged();
		}
		own.fireChannelWritabilityChanged();
	}

	@Override
	public void channelInactive(ChannelHandlerContext own) {
		this.closed = true;
		this.pipelinedRequests.forEach(ReferenceCountUtil::release);
		this.pipelinedRequests.clear();
		CallerExchange exchange = this.current;
		if (exchange != null) {
			exchange.disconnected();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext own, Throwable cause) {
		LogEvent.of("caller-connection-failed")
			.with("caller", own.channel().remoteAddress())
			.with("cause", cause)
			.log(LOGGER, System.Logger.Level.INFO);
		own.close();
	}

}
