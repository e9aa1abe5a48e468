package io.bilberryvalve.wire;

import java.time.Duration;

/**
 * Limits of the transport between daemons.
 *
 * @param maxFrameBytes largest message in bytes; the receiver closes the connection on
 * which a larger one arrives
 * @param maxQueuedBytes largest size in bytes of the messages queued on one connection;
 * further messages are refused, except that one message larger than this limit may be
 * queued in addition
 * @param maxInboundConnections largest number of open inbound connections; further ones
 * are closed immediately
 * @param handshakeTimeout time limit from the start of a connection to its authentication
 */
public record TransportLimits(int maxFrameBytes, int maxQueuedBytes, int maxInboundConnections,
		Duration handshakeTimeout) {

	private static final int MEBIBYTE = 1 << 20;

	private static final int DEFAULT_INBOUND = 512;

	/**
	 * Space for the envelope of a message and for the digests of the configuration parts.
	 */
	private static final int ENVELOPE_BYTES = MEBIBYTE;

	private static final Duration DEFAULT_HANDSHAKE = Duration.ofSeconds(2);

	/**
	 * Returns the limits of daemons that exchange short messages only: frames of 1 MiB,
	 * queues of 4 MiB, 512 inbound connections and 2 s for the handshake.
	 * @return the default limits
	 */
	public static TransportLimits defaults() {
		return new TransportLimits(MEBIBYTE, 4 * MEBIBYTE, DEFAULT_INBOUND, DEFAULT_HANDSHAKE);
	}

	/**
	 * Returns limits whose frames can hold a payload of a given size, for example a part
	 * of the configuration. The smaller limit for frames before authentication does not
	 * change.
	 * @param bytes size of the payload in bytes
	 * @return limits with frames of at least the payload and 1 MiB in addition
	 */
	public TransportLimits withPayloadBytes(int bytes) {
		int frame = Math.max(this.maxFrameBytes, Math.addExact(bytes, ENVELOPE_BYTES));
		return new TransportLimits(frame, this.maxQueuedBytes, this.maxInboundConnections, this.handshakeTimeout);
	}

}
