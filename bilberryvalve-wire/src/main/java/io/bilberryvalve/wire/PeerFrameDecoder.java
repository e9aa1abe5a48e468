package io.bilberryvalve.wire;

import java.nio.ByteOrder;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Splits the byte stream into frames, each preceded by its length in four bytes. Until
 * the peer is authenticated, a frame may have at most 4096 bytes, so that an
 * unauthenticated client cannot make the daemon buffer large amounts of data.
 */
final class PeerFrameDecoder extends LengthFieldBasedFrameDecoder {

	static final int LENGTH_BYTES = 4;

	private static final int MAX_UNAUTHENTICATED_BYTES = 4096;

	private boolean authenticated;

	PeerFrameDecoder(int maxFrameBytes) {
		super(maxFrameBytes + LENGTH_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES);
	}

	void setAuthenticated() {
		this.authenticated = true;
	}

	@Override
	protected long getUnadjustedFrameLength(ByteBuf buffer, int offset, int length, ByteOrder order) {
		long frame = super.getUnadjustedFrameLength(buffer, offset, length, order);
		if (!this.authenticated && frame > MAX_UNAUTHENTICATED_BYTES) {
			throw new TooLongFrameException("frame of " + frame + " bytes before authentication");
		}
		return frame;
	}

}
