package io.bilberryvalve.wire;

import java.time.Duration;

/**
 * Limits of the transport between daemons.
 *
 * @param maxFrameBytes largest message in bytes; a larger one closes the connection
 * @param maxQueuedBytes bytes that may wait on one connection; further messages are
 * refused
 * @param maxInbound connections accepted at the same time; further ones are closed
 * @param handshakeTimeout time from connecting to authentication
 */
public record TransportLimits(int maxFrameBytes, int maxQueuedBytes, int maxInbound, Duration handshakeTimeout) {

	private static final int MEBIBYTE = 1 << 20;

	private static final int DEFAULT_INBOUND = 512;

	private static final Duration DEFAULT_HANDSHAKE = Duration.ofSeconds(2);

	/**
	 * Returns the limits used in production: frames of 1 MiB, queues of 4 MiB, 512
	 * inbound connections and 2 s for the handshake.
	 * @return the limits
	 */
	public static TransportLimits defaults() {
		return new TransportLimits(MEBIBYTE, 4 * MEBIBYTE, DEFAULT_INBOUND, DEFAULT_HANDSHAKE);
	}

}
