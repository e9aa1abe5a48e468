package io.bilberryvalve.gateway.http;

import java.time.Clock;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Measures for how long a request, and its head in particular, has been incomplete on one
 * connection. Must be used on the event loop of the connection only.
 */
final class HeaderTimer {

	private static final long NONE = -1;

	private final Clock clock;

	private long incompleteSince = NONE;

	private long receivingSince = NONE;

	HeaderTimer(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the handler that starts the measurement when bytes arrive.
	 * @return a handler to insert before the codec
	 */
	ChannelHandler beforeCodec() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext ctx, Object bytes) {
				if (HeaderTimer.this.incompleteSince == NONE) {
					HeaderTimer.this.incompleteSince = HeaderTimer.this.clock.millis();
				}
				startReceiving();
				ctx.fireChannelRead(bytes);
			}

		};
	}

	private void startReceiving() {
		if (this.receivingSince == NONE) {
			this.receivingSince = this.clock.millis();
		}
	}

	/**
	 * Returns the handler that stops the measurement of the head when the codec has
	 * decoded a head or a part of a body, and that of the request when it has decoded the
	 * end of a body. If the bytes of the same read also contain the start of another
	 * head, that head is measured from the next read on.
	 * @return a handler to insert after the codec
	 */
	ChannelHandler afterCodec() {
		return new ChannelInboundHandlerAdapter() {

			@Override
			public void channelRead(ChannelHandlerContext ctx, Object part) {
				HeaderTimer.this.incompleteSince = NONE;
				if (part instanceof LastHttpContent) {
					HeaderTimer.this.receivingSince = NONE;
				}
				else {
					startReceiving();
				}
				ctx.fireChannelRead(part);
			}

		};
	}

	/**
	 * Returns whether a head has been incomplete for at least the given time.
	 * @param millis time in milliseconds
	 * @return {@code true} if the measurement started at least that long ago and has not
	 * stopped
	 */
	boolean isIncompleteFor(long millis) {
		return this.incompleteSince != NONE && this.clock.millis() - this.incompleteSince >= millis;
	}

	/**
	 * Returns whether a request has been received in part.
	 * @return {@code true} from the first bytes of a request to its last
	 */
	boolean isReceiving() {
		return this.receivingSince != NONE;
	}

	/**
	 * Returns whether a request has been incomplete for at least the given time.
	 * @param millis time in milliseconds
	 * @return {@code true} if its first bytes arrived at least that long ago
	 */
	boolean isReceivingFor(long millis) {
		return isReceiving() && this.clock.millis() - this.receivingSince >= millis;
	}

}
