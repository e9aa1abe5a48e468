package io.bilberryvalve.daemon.peer;

import io.bilberryvalve.wire.PeerConnection;
import io.bilberryvalve.wire.PeerIdentity;
import io.bilberryvalve.wire.proto.PeerMessage;

/**
 * Creates envelopes.
 */
final class PeerEnvelopes {

	private PeerEnvelopes() {
	}

	/**
	 * Creates an envelope with the identity that this daemon proved on a connection.
	 * @param connection the connection
	 * @return the envelope
	 */
	static PeerMessage.Builder envelope(PeerConnection connection) {
		PeerIdentity self = connection.local();
		return PeerMessage.newBuilder().setSender(self.vm().value()).setIncarnation(self.incarnation());
	}

}
