package io.bilberryvalve.wire;

import io.bilberryvalve.wire.proto.PeerMessage;

/**
 * Receives the events of connections. Calls for one connection are not concurrent and
 * must not block.
 */
public interface ConnectionListener {

	/**
	 * Tells that a connection is authenticated.
	 * @param connection the connection
	 */
	void onOpened(PeerConnection connection);

	/**
	 * Receives a message whose sender is the authenticated VM of the connection.
	 * @param connection the connection
	 * @param message the message
	 */
	void onMessage(PeerConnection connection, PeerMessage message);

	/**
	 * Tells that a connection which was open has ended.
	 * @param connection the connection
	 * @param reason why it ended
	 */
	void onClosed(PeerConnection connection, String reason);

}
