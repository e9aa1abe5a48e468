package io.bilberryvalve.wire;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import io.bilberryvalve.model.Address;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.traffic.GlobalTrafficShapingHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import org.jspecify.annotations.Nullable;

/**
 * Opens and accepts authenticated TCP connections between daemons. The events of all
 * connections go to one {@link ConnectionListener}.
 */
public final class PeerTransport implements AutoCloseable {

	private static final int THREADS = 2;

	private static final long CLOSE_SECONDS = 5;

	private final FederationSecret secret;

	private final Supplier<PeerIdentity> self;

	private final TransportLimits limits;

	private final ConnectionListener listener;

	private final AtomicInteger inboundConnections = new AtomicInteger();

	private final EventLoopGroup eventLoops = new NioEventLoopGroup(THREADS, new DefaultThreadFactory("peer", true));

	/**
	 * Counts the bytes of all connections. It is created without a rate limit and does
	 * not delay traffic.
	 */
	private final GlobalTrafficShapingHandler traffic = new GlobalTrafficShapingHandler(this.eventLoops, 0);

	private volatile @Nullable Channel server;

	/**
	 * Creates a transport without connections.
	 * @param secret secret that all daemons of the federation share
	 * @param self supplies the identity that this daemon claims; called at the start of
	 * each connection
	 * @param limits limits of messages, queues and connections
	 * @param listener receives the events of all connections
	 */
	public PeerTransport(FederationSecret secret, Supplier<PeerIdentity> self, TransportLimits limits,
			ConnectionListener listener) {
		this.secret = secret;
		this.self = self;
		this.limits = limits;
		this.listener = listener;
	}

	/**
	 * Binds an address without accepting connections. Connections wait until
	 * {@link #startAccepting()}, so that the identity of this daemon, which may contain
	 * the bound address, can be determined first.
	 * @param host the IP address to listen on
	 * @param port the port, or 0 for any free port
	 * @return the address on which the transport listens
	 * @throws IllegalStateException if the address cannot be used
	 */
	public Address bind(String host, int port) {
		ServerBootstrap bootstrap = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.AUTO_READ, false)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new Initializer(false, null));
		ChannelFuture bound = bootstrap.bind(host, port).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IllegalStateException(
					"cannot listen on " + host + ":" + port + "; set a free port as the peer address", bound.cause());
		}
		this.server = bound.channel();
		InetSocketAddress local = (InetSocketAddress) bound.channel().localAddress();
		return new Address(host, local.getPort());
	}

	/**
	 * Starts to accept connections at the bound address.
	 * @throws IllegalStateException if no address is bound
	 */
	public void startAccepting() {
		Channel bound = this.server;
		if (bound == null) {
			throw new IllegalStateException("no address is reserved; call bind() first");
		}
		bound.config().setAutoRead(true);
	}

	/**
	 * Binds an address and starts to accept connections.
	 * @param host the IP address to listen on
	 * @param port the port, or 0 for any free port
	 * @return the address on which the transport listens
	 * @throws IllegalStateException if the address cannot be used
	 */
	public Address listen(String host, int port) {
		Address address = bind(host, port);
		startAccepting();
		return address;
	}

	/**
	 * Opens a connection to another daemon.
	 * @param address peer address of the other daemon
	 * @return a stage with the authenticated connection; it fails if the connection
	 * cannot be opened or the other side cannot be authenticated. The listener is called
	 * before the stage completes.
	 */
	public CompletionStage<PeerConnection> connect(Address address) {
		CompletableFuture<PeerConnection> result = new CompletableFuture<>();
		Bootstrap bootstrap = new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) this.limits.handshakeTimeout().toMillis())
			.handler(new Initializer(true, result));
		bootstrap.connect(address.host(), address.port()).addListener((done) -> {
			if (!done.isSuccess()) {
				result.completeExceptionally(done.cause());
			}
		});
		return result;
	}

	/**
	 * Returns the number of bytes sent on all connections.
	 * @return number of bytes since the start
	 */
	public long bytesSent() {
		return this.traffic.trafficCounter().cumulativeWrittenBytes();
	}

	/**
	 * Returns the number of bytes received on all connections.
	 * @return number of bytes since the start
	 */
	public long bytesReceived() {
		return this.traffic.trafficCounter().cumulativeReadBytes();
	}

	@Override
	public void close() {
		this.traffic.release();
		Channel listening = this.server;
		if (listening != null) {
			listening.close().awaitUninterruptibly();
		}
		this.eventLoops.shutdownGracefully(0, CLOSE_SECONDS, TimeUnit.SECONDS)
			.awaitUninterruptibly(CLOSE_SECONDS, TimeUnit.SECONDS);
	}

	private boolean tryAdmitInbound(Channel channel) {
		channel.closeFuture().addListener((done) -> this.inboundConnections.decrementAndGet());
		return this.inboundConnections.incrementAndGet() <= this.limits.maxInboundConnections();
	}

	private final class Initializer extends ChannelInitializer<Channel> {

		private final boolean initiator;

		private final @Nullable CompletableFuture<PeerConnection> result;

		Initializer(boolean initiator, @Nullable CompletableFuture<PeerConnection> result) {
			this.initiator = initiator;
			this.result = result;
		}

		@Override
		protected void initChannel(Channel channel) {
			if (!this.initiator && !tryAdmitInbound(channel)) {
				channel.close();
				return;
			}
			PeerTransport transport = PeerTransport.this;
			Handshake handshake = new Handshake(transport.secret, transport.self.get(), this.initiator);
			CompletableFuture<PeerConnection> opened = (this.result != null) ? this.result : new CompletableFuture<>();
			PeerChannelHandler handler = new PeerChannelHandler(handshake, this.initiator, transport.limits,
					transport.listener, opened);
			channel.pipeline().addLast(transport.traffic);
			handler.install(channel.pipeline());
		}

	}

}
