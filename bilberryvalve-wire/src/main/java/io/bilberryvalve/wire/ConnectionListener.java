package io.bilberryvalve.wire;

import io.bilberryvalve.wire.proto.PeerMessage;

/**
 * Receives the events of authenticated connections. The methods run on the I/O threads of
 * the transport and must not block. They are never called concurrently for the same
 * connection.
 */
public interface ConnectionListener {

	/**
	 * Called when a connection has been authenticated.
	 * @param connection the new connection
	 */
	void onOpened(PeerConnection connection);

	/**
	 * Called for each message. Its sender and incarnation are those of the authenticated
	 * peer of the connection.
	 * @param connection connection on which the message arrived
	 * @param message message of the peer
	 */
	void onMessage(PeerConnection connection, PeerMessage message);

	/**
	 * Called when an authenticated connection has ended.
	 * @param connection connection that has ended
	 * @param reason why it ended, for logs and error messages
	 */
	void onClosed(PeerConnection connection, String reason);

}
