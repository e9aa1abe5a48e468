package io.bilberryvalve.daemon.http;

import java.net.InetSocketAddress;

import io.bilberryvalve.config.DaemonLimits;
import io.servicetalk.http.api.HttpProtocolConfig;
import io.servicetalk.http.api.StreamingHttpService;
import io.servicetalk.http.netty.H1ProtocolConfig;
import io.servicetalk.http.netty.HttpProtocolConfigs;
import io.servicetalk.http.netty.HttpServers;
import io.servicetalk.transport.api.ServerContext;
import io.servicetalk.transport.api.ServiceTalkSocketOptions;

/**
 * HTTP server through which an entry answers callers and operators.
 */
public final class EntryServer implements AutoCloseable {

	private static final int MAX_START_LINE_BYTES = 4 * 1024;

	private final ServerContext context;

	private EntryServer(ServerContext context) {
		this.context = context;
	}

	/**
	 * Starts a server for HTTP/1.1.
	 * @param address address to listen on; port 0 selects a free port
	 * @param service handles the requests
	 * @param limits provides the largest size of a header in bytes and the idle timeout
	 * of connections
	 * @return the running server
	 * @throws Exception if the server cannot listen on the address
	 */
	public static EntryServer start(InetSocketAddress address, StreamingHttpService service, DaemonLimits limits)
			throws Exception {
		H1ProtocolConfig protocol = HttpProtocolConfigs.h1()
			.maxStartLineLength(MAX_START_LINE_BYTES)
			.maxHeaderFieldLength(limits.headerBytes())
			.build();
		return start(address, service, protocol, limits);
	}

	/**
	 * Starts a server for HTTP/2 with prior knowledge.
	 * @param address address to listen on; port 0 selects a free port
	 * @param service handles the requests
	 * @param limits provides the idle timeout of connections
	 * @return the running server
	 * @throws Exception if the server cannot listen on the address
	 */
	public static EntryServer startHttp2(InetSocketAddress address, StreamingHttpService service, DaemonLimits limits)
			throws Exception {
		return start(address, service, HttpProtocolConfigs.h2Default(), limits);
	}

	private static EntryServer start(InetSocketAddress address, StreamingHttpService service,
			HttpProtocolConfig protocol, DaemonLimits limits) throws Exception {
		ServerContext context = HttpServers.forAddress(address)
			.protocols(protocol)
			.socketOption(ServiceTalkSocketOptions.IDLE_TIMEOUT, limits.idleConnection().toMillis())
			.listenStreamingAndAwait(service);
		return new EntryServer(context);
	}

	/**
	 * Returns the address on which the server listens.
	 * @return the address, with the actual port if port 0 was given
	 */
	public InetSocketAddress address() {
		return (InetSocketAddress) this.context.listenAddress();
	}

	@Override
	public void close() throws Exception {
		this.context.closeGracefully();
	}

}
