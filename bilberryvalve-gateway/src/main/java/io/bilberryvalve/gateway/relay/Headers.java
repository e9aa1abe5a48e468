package io.bilberryvalve.gateway.relay;

import java.util.Set;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Copies headers from one connection to another.
 */
final class Headers {

	/** Headers that concern one connection only, and those of the framing. */
	private static final Set<String> HOP_BY_HOP = Set.of("connection", "keep-alive", "proxy-authenticate",
			"proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade",
			"content-length", "expect");

	private Headers() {
	}

	/**
	 * Copies the headers that pass a router.
	 * @param from headers as received
	 * @return a copy without those of the connection and the framing
	 */
	static HttpHeaders endToEnd(HttpHeaders from) {
		HttpHeaders copy = new DefaultHttpHeaders();
		copy.set(from);
		for (String named : from.getAllAsString(HttpHeaderNames.CONNECTION)) {
			for (String name : named.split(",")) {
				if (!name.isBlank()) {
					copy.remove(name.trim());
				}
			}
		}
		HOP_BY_HOP.forEach(copy::remove);
		return copy;
	}

}
