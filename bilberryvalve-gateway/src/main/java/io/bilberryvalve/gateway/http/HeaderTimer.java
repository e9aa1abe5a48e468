package io.bilberryvalve.gateway.http;

import java.time.Clock;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Measures how long the head of a request has been incomplete on one connection. Used on
 * the event loop of the connection only.
 */
final class HeaderTimer {

	private static final long NONE = -1;

	private final Clock clock;

	private long incompleteSince = NONE;

	HeaderTimer(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the handler that sees the bytes before they are decoded.
	 * @return a handler for the place before the codec
	 */
	ChannelHandler beforeCodec() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext own, Object bytes) {
				if (HeaderTimer.this.incompleteSince == NONE) {
					HeaderTimer.this.incompleteSince = HeaderTimer.this.clock.millis();
				}
				own.fireChannelRead(bytes);
			}

		};
	}

	/**
	 * Returns the handler that sees what the codec has decoded, a head or a part of a
	 * body. The start of a second head in the same read is measured from its next bytes.
	 * @return a handler for the place after the codec
	 */
	ChannelHandler afterCodec() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext own, Object part) {
				HeaderTimer.this.incompleteSince = NONE;
				own.fireChannelRead(part);
			}

		};
	}

	/**
	 * Tells whether a head has been incomplete for some time.
	 * @param millis the time
	 * @return whether its first byte is at least that old
	 */
	boolean isIncompleteFor(long millis) {
		return this.incompleteSince != NONE && this.clock.millis() - this.incompleteSince >= millis;
	}

}
