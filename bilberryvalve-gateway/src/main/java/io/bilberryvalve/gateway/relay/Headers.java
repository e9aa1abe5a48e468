package io.bilberryvalve.gateway.relay;

import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Selects the headers that a router forwards from one connection to another.
 */
final class Headers {

	/**
	 * Hop-by-hop headers, which concern a single connection, and headers of the message
	 * framing.
	 */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private Headers() {
	}

	/**
	 * Copies the end-to-end headers.
	 * @param received headers as received on one connection
	 * @return a copy without the hop-by-hop headers, those named by {@code Connection},
	 * and the framing headers
	 */
	static HttpHeaders endToEnd(HttpHeaders received) {
		HttpHeaders copy = new DefaultHttpHeaders();
		copy.set(received);
		for (String names : received.getAllAsString(HttpHeaderNames.CONNECTION)) {
			for (String name : names.split(",")) {
				if (!name.isBlank()) {
					copy.remove(name.trim());
				}
			}
		}
		HOP_BY_HOP.forEach(copy::remove);
		return copy;
	}

}
