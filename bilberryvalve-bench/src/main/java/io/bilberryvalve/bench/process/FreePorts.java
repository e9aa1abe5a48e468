package io.bilberryvalve.bench.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.model.Address;

/**
 * Free ports on loopback, known before the processes that use them start.
 */
final class FreePorts {

	private FreePorts() {
	}

	/**
	 * Chooses an address for each name. All sockets are open until the last is chosen, so
	 * that no port is chosen twice.
	 * @param names the names
	 * @return addresses by name
	 * @throws IOException if no port is free
	 */
	static Map<String, Address> choose(List<String> names) throws IOException {
		Map<String, Address> addresses = new LinkedHashMap<>();
		List<ServerSocket> sockets = new ArrayList<>();
		for (String name : names) {
			ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
			sockets.add(socket);
			addresses.put(name, new Address("127.0.0.1", socket.getLocalPort()));
		}
		for (ServerSocket socket : sockets) {
			socket.close();
		}
		return addresses;
	}

}
