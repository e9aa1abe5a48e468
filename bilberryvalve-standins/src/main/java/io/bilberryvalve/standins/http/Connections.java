package io.bilberryvalve.standins.http;

import java.net.SocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.servicetalk.transport.api.ConnectionContext;

/**
 * The open connections of a server, and those of them that have gone silent.
 */
final class Connections {

	private final Set<SocketAddress> open = ConcurrentHashMap.newKeySet();

	private final Set<SocketAddress> silenced = ConcurrentHashMap.newKeySet();

	void add(ConnectionContext connection) {
		SocketAddress remote = connection.remoteAddress();
		this.open.add(remote);
		connection.onClose().afterFinally(() -> remove(remote)).subscribe();
	}

	/**
	 * Silences the connections that are open now, until they are closed.
	 */
	void silenceOpen() {
		this.silenced.addAll(this.open);
	}

	boolean silenced(SocketAddress remote) {
		return this.silenced.contains(remote);
	}

	private void remove(SocketAddress remote) {
		this.open.remove(remote);
		this.silenced.remove(remote);
	}

}
