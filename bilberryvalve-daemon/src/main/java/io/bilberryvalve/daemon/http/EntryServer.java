package io.bilberryvalve.daemon.http;

import java.net.InetSocketAddress;
import java.time.Duration;

import io.servicetalk.http.api.HttpProtocolConfig;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.H1ProtocolConfig;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ServerContext;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;

/**
 * The HTTP server of an entry.
 */
public final class EntryServer implements AutoCloseable {

	private static final long IDLE_TIMEOUT_MILLIS = Duration.ofSeconds(60).toMillis();

	private static final int MAX_START_LINE_BYTES = 4 * 1024;

	private static final int MAX_HEADER_BYTES = 16 * 1024;

	private final ServerContext context;

	private EntryServer(ServerContext context) {
		this.context = context;
	}

	/**
	 * Starts a server for HTTP/1.1.
	 * @param address where to listen; port 0 takes a free port
	 * @param service answers the requests
	 * @return the server
	 * @throws Exception if the address cannot be used
	 */
	public static EntryServer start(InetSocketAddress address, StreamingHttpService service) throws Exception {
		H1ProtocolConfig protocol = HttpProtocolConfigs.h1()
			.maxStartLineLength(MAX_START_LINE_BYTES)
			.maxHeaderFieldLength(MAX_HEADER_BYTES)
			.build();
		return start(address, service, protocol);
	}

	/**
	 * Starts a server for HTTP/2 with prior knowledge.
	 * @param address where to listen; port 0 takes a free port
	 * @param service answers the requests
	 * @return the server
	 * @throws Exception if the address cannot be used
	 */
	public static EntryServer startHttp2(InetSocketAddress address, StreamingHttpService service) throws Exception {
		return start(address, service, HttpProtocolConfigs.h2Default());
	}

	private static EntryServer start(InetSocketAddress address, StreamingHttpService service,
			HttpProtocolConfig protocol) throws Exception {
		ServerContext context = HttpServers.forAddress(address)
			.protocols(protocol)
			.socketOption(ServiceTalkSocketOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MILLIS)
			.listenStreamingAndAwait(service);
		return new EntryServer(context);
	}

	/**
	 * Returns where the server listens.
	 * @return the address
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.context.listenAddress();
	}

	@Override
	public void close() throws Exception {
		this.context.closeGracefully();
	}

}
