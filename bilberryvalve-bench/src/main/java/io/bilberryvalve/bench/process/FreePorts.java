package io.bilberryvalve.bench.process;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.model.Address;

/**
 * Free ports on loopback, known before the processes that use them start. They lie below
 * the range from which the kernel takes the ports of outgoing connections, so that no
 * connection takes a port before the process that was meant to listen on it. Processes
 * that choose ports at the same time begin at different ones.
 */
final class FreePorts {

	private static final int FIRST = 10_000;

	private static final int COUNT = 20_000;

	private static final int PORTS_PER_PROCESS = 64;

	private static final AtomicInteger NEXT = new AtomicInteger(
			(int) (ProcessHandle.current().pid() * PORTS_PER_PROCESS % COUNT));

	private FreePorts() {
	}

	/**
	 * Chooses an address for each name.
	 * @param names the names
	 * @return addresses by name
	 * @throws IOException if no port is free
	 */
	static Map<String, Address> choose(List<String> names) throws IOException {
		Map<String, Address> addresses = new LinkedHashMap<>();
		for (String name : names) {
			addresses.put(name, new Address("127.0.0.1", choose()));
		}
		return addresses;
	}

	private static int choose() throws IOException {
		for (int i = 0; i < COUNT; i++) {
			int port = FIRST + NEXT.getAndUpdate((next) -> (next + 1) % COUNT);
			if (free(port)) {
				return port;
			}
		}
		throw new IOException("no port from " + FIRST + " to " + (FIRST + COUNT - 1) + " is free");
	}

	private static boolean free(int port) {
		try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
			return socket.isBound();
		}
		catch (IOException ex) {
			return false;
		}
	}

}
