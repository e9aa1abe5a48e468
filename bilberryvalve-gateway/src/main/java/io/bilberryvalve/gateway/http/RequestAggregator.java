package io.bilberryvalve.gateway.http;

import java.util.function.BooleanSupplier;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;
import org.jspecify.annotations.Nullable;

/**
 * Collects the parts of each request. It writes no response while another one may be in
 * progress on the connection: a request with too long a body is passed on as a failed one
 * without body, and the rest of its body is dropped.
 */
final class RequestAggregator extends HttpObjectAggregator {

	private final int maxBodyBytes;

	private final BooleanSupplier requestInProgress;

	/**
	 * Creates an aggregator.
	 * @param maxBodyBytes largest body in bytes
	 * @param requestInProgress whether a request of the connection has no complete
	 * response yet
	 */
	RequestAggregator(int maxBodyBytes, BooleanSupplier requestInProgress) {
		super(maxBodyBytes);
		this.maxBodyBytes = maxBodyBytes;
		this.requestInProgress = requestInProgress;
	}

	// A caller that gets no response to its expectation sends the body after a while.
	@Override
	protected @Nullable Object newContinueResponse(HttpMessage start, int maxContentLength, ChannelPipeline pipeline) {
		if (HttpUtil.getContentLength(start, -1L) > maxContentLength) {
			return null;
		}
		if (this.requestInProgress.getAsBoolean()) {
			start.headers().remove(HttpHeaderNames.EXPECT);
			return null;
		}
		return super.newContinueResponse(start, maxContentLength, pipeline);
	}

	@Override
	protected void handleOversizedMessage(ChannelHandlerContext ctx, HttpMessage oversized) throws Exception {
		if (oversized instanceof HttpRequest request) {
			FullHttpRequest failed = new DefaultFullHttpRequest(request.protocolVersion(), request.method(),
					request.uri(), Unpooled.EMPTY_BUFFER, request.headers(), EmptyHttpHeaders.INSTANCE);
			failed.setDecoderResult(DecoderResult
				.failure(new TooLongHttpContentException("the body exceeds " + this.maxBodyBytes + " bytes")));
			ctx.fireChannelRead(failed);
		}
		else {
			super.handleOversizedMessage(ctx, oversized);
		}
	}

}
