package io.bilberryvalve.wire;

import java.time.Duration;

/**
 * Limits of the transport between daemons.
 *
 * @param maxFrameBytes largest message in bytes; a larger one closes the connection
 * @param maxQueuedBytes bytes that may wait on one connection; further messages are
 * refused, but one message larger than this may wait in addition
 * @param maxInboundConnections connections accepted at the same time; further ones are
 * closed
 * @param handshakeTimeout time from connecting to authentication
 */
public record TransportLimits(int maxFrameBytes, int maxQueuedBytes, int maxInboundConnections,
		Duration handshakeTimeout) {

	private static final int MEBIBYTE = 1 << 20;

	private static final int DEFAULT_INBOUND = 512;

	/** Room for the envelope of a message and the digests of a configuration. */
	private static final int ENVELOPE_BYTES = MEBIBYTE;

	private static final Duration DEFAULT_HANDSHAKE = Duration.ofSeconds(2);

	/**
	 * Returns the limits of daemons that exchange short messages only: frames of 1 MiB,
	 * queues of 4 MiB, 512 inbound connections and 2 s for the handshake.
	 * @return the limits
	 */
	public static TransportLimits defaults() {
		return new TransportLimits(MEBIBYTE, 4 * MEBIBYTE, DEFAULT_INBOUND, DEFAULT_HANDSHAKE);
	}

	/**
	 * Returns limits whose frames hold a text of a given size, for example a part of the
	 * configuration. The limit before authentication does not change.
	 * @param bytes size of the text in bytes
	 * @return limits with frames of 1 MiB more than the text
	 */
	public TransportLimits withPayloadBytes(int bytes) {
		int frame = Math.max(this.maxFrameBytes, Math.addExact(bytes, ENVELOPE_BYTES));
		return new TransportLimits(frame, this.maxQueuedBytes, this.maxInboundConnections, this.handshakeTimeout);
	}

}
