package io.bilberryvalve.standins.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

import org.kohsuke.args4j.Argument;

/**
 * Prints free ports. All are held until the last is found, so that they differ.
 */
public final class PortsCommand implements DemoCommand {

	@Argument(required = true, metaVar = "N", usage = "number of ports")
	private int count;

	@Override
	public boolean run() throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			for (int i = 0; i < this.count; i++) {
				sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
			}
			sockets.forEach((socket) -> System.out.println(socket.getLocalPort()));
		}
		finally {
			for (ServerSocket socket : sockets) {
				socket.close();
			}
		}
		return true;
	}

}
