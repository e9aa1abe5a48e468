package io.bilberryvalve.daemon.peer;

import io.bilberryvalve.wire.PeerConnection;
import io.bilberryvalve.wire.PeerIdentity;
import io.bilberryvalve.wire.proto.PeerMessage;

/**
 * Creates the envelopes of messages between daemons. An envelope names the sender and
 * holds one message.
 */
final class PeerEnvelopes {

	private PeerEnvelopes() {
	}

	/**
	 * Creates an envelope with the identity that this daemon proved on a connection. The
	 * receiver closes the connection if a message names another sender.
	 * @param connection connection on which the message will be sent
	 * @return an envelope without content
	 */
	static PeerMessage.Builder envelope(PeerConnection connection) {
		PeerIdentity self = connection.local();
		return PeerMessage.newBuilder().setSender(self.vm().value()).setIncarnation(self.incarnation());
	}

}
