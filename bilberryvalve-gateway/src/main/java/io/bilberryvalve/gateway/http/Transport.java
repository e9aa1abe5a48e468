package io.bilberryvalve.gateway.http;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollDatagramChannel;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioDatagramChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * Owns the event loops, of which one is for control only, and sets the options of
 * sockets. With the native transport (epoll), the operating system closes connections
 * whose peer no longer responds, by keep-alive probes and a limit on the age of
 * unacknowledged data.
 */
public final class Transport implements AutoCloseable {

	/**
	 * Long enough for a lost opening packet on a local network, and short compared with
	 * the deadline of a request.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 500;

	/** Idle time before the first keep-alive probe, and time between two probes. */
	private static final int KEEP_ALIVE_PROBE_SECONDS = 1;

	private static final int KEEP_ALIVE_PROBES = 2;

	/**
	 * Age of unacknowledged data at which the connection is closed; about the time after
	 * which the probes close an idle connection.
	 */
	private static final int TCP_USER_TIMEOUT_MILLIS = 3000;

	/**
	 * Length of the accept queue; all callers reconnect at the same time after a restart.
	 */
	private static final int BACKLOG = 1024;

	/** Most bytes of one read from a connection to an upstream. */
	private static final int MAX_UPSTREAM_READ_BYTES = 8192;

	/**
	 * Number of reads from a connection to an upstream before the event loop turns to the
	 * other connections. The second one usually finds nothing, which ends the turn
	 * without another task of the loop.
	 */
	private static final int UPSTREAM_READS = 2;

	private static final int INITIAL_READ_BYTES = 2048;

	private static final int MIN_READ_BYTES = 64;

	/** Largest datagram; a longer one than the receive buffer would be cut off. */
	private static final int MAX_DATAGRAM_BYTES = 65_536;

	private final boolean epoll = Epoll.isAvailable();

	private final EventLoopGroup eventLoops;

	private final EventLoopGroup controlLoops;

	/**
	 * Creates the event loops.
	 * @param threads number of threads for callers' connections; control has one more
	 */
	public Transport(int threads) {
		this.eventLoops = createLoops(threads, "gateway");
		this.controlLoops = createLoops(1, "control");
	}

	private EventLoopGroup createLoops(int threads, String name) {
		DefaultThreadFactory factory = new DefaultThreadFactory(name, true);
		return this.epoll ? new EpollEventLoopGroup(threads, factory) : new NioEventLoopGroup(threads, factory);
	}

	/**
	 * Returns the event loops of callers' connections in rotation.
	 * @return the next event loop
	 */
	public EventLoop next() {
		return (EventLoop) this.eventLoops.next();
	}

	/**
	 * Returns the event loops of callers' connections.
	 * @return the loops, always in the same order
	 */
	public List<EventLoop> loops() {
		List<EventLoop> loops = new ArrayList<>();
		this.eventLoops.forEach((executor) -> loops.add((EventLoop) executor));
		return loops;
	}

	/**
	 * Returns the event loop for control: calls to the store, the tables that are
	 * watched, leases, orders, and the exchange of states with other daemons. It has a
	 * thread of its own, so that control is not delayed by a backlog of requests.
	 * @return the event loop, which must not be blocked or used for long computations
	 */
	public EventLoop control() {
		return (EventLoop) this.controlLoops.next();
	}

	/**
	 * Returns whether the native transport is in use.
	 * @return {@code true} if the operating system detects connections whose peer no
	 * longer responds
	 */
	public boolean usesNativeTransport() {
		return this.epoll;
	}

	ServerBootstrap serverBootstrap() {
		return new ServerBootstrap().group(this.eventLoops)
			.channel(this.epoll ? EpollServerSocketChannel.class : NioServerSocketChannel.class)
			.option(ChannelOption.SO_REUSEADDR, true)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true);
	}

	Bootstrap clientBootstrap(EventLoop loop) {
		Bootstrap bootstrap = new Bootstrap().group(loop)
			.channel(this.epoll ? EpollSocketChannel.class : NioSocketChannel.class)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.SO_KEEPALIVE, true)
			.option(ChannelOption.RCVBUF_ALLOCATOR,
					new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_UPSTREAM_READ_BYTES)
						.maxMessagesPerRead(UPSTREAM_READS))
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS);
		if (this.epoll) {
			bootstrap.option(EpollChannelOption.TCP_KEEPIDLE, KEEP_ALIVE_PROBE_SECONDS)
				.option(EpollChannelOption.TCP_KEEPINTVL, KEEP_ALIVE_PROBE_SECONDS)
				.option(EpollChannelOption.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
				.option(EpollChannelOption.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MILLIS);
		}
		return bootstrap;
	}

	/**
	 * Creates a bootstrap for a datagram socket of control.
	 * @return a bootstrap without handler
	 */
	public Bootstrap datagramBootstrap() {
		return new Bootstrap().group(this.controlLoops)
			.channel(this.epoll ? EpollDatagramChannel.class : NioDatagramChannel.class)
			.option(ChannelOption.RCVBUF_ALLOCATOR, new FixedRecvByteBufAllocator(MAX_DATAGRAM_BYTES));
	}

	@Override
	public void close() {
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		this.controlLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

}
