package io.bilberryvalve.gateway.http;

import java.net.InetSocketAddress;
import java.time.Clock;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

import io.bilberryvalve.gateway.route.CallerLimits;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.task.GuardedTask;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.HttpServerCodec;

/**
 * HTTP server for callers that listens on one address.
 */
public final class CallerServer {

	private static final int MAX_REQUEST_LINE_BYTES = 8192;

	private static final int MAX_CHUNK_BYTES = 65536;

	/**
	 * Added to the declared timeouts, so that a request is not cut off because its
	 * packets are retransmitted.
	 */
	private static final Duration TIMEOUT_MARGIN = Duration.ofSeconds(2);

	private static final Duration TIMEOUT_CHECK_INTERVAL = Duration.ofMillis(1000);

	private final Transport transport;

	private final Supplier<CallerLimits> limits;

	private final Consumer<CallerExchange> handler;

	private final Clock clock;

	private final Map<Channel, CallerConnection> connections = new ConcurrentHashMap<>();

	private volatile boolean draining;

	/**
	 * Creates a server.
	 * @param transport event loops of the connections
	 * @param limits supplies the limits; sizes are read for each new connection, timeouts
	 * at each check
	 * @param clock monotonic clock
	 * @param handler handles each request on the event loop of its connection
	 */
	public CallerServer(Transport transport, Supplier<CallerLimits> limits, Clock clock,
			Consumer<CallerExchange> handler) {
		this.transport = transport;
		this.limits = limits;
		this.handler = handler;
		this.clock = clock;
	}

	/**
	 * Starts to accept connections.
	 * @param host the IP address to listen on
	 * @param port the port, or 0 for any free port
	 * @return the address on which the server listens
	 * @throws IllegalStateException if the address cannot be bound
	 */
	public Address listen(String host, int port) {
		ChannelFuture bound = this.transport.serverBootstrap().childHandler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				accept(channel);
			}

		}).bind(host, port).awaitUninterruptibly();
		if (!bound.isSuccess()) {
			throw new IllegalStateException(
					"cannot listen on " + host + ":" + port + "; check that the address is free", bound.cause());
		}
		GuardedTask.repeat(this.transport.next(), "close-timed-out", this::closeTimedOut, TIMEOUT_CHECK_INTERVAL);
		return new Address(host, ((InetSocketAddress) bound.channel().localAddress()).getPort());
	}

	void accept(Channel channel) {
		CallerLimits now = this.limits.get();
		HeaderTimer head = new HeaderTimer(this.clock);
		CallerConnection connection = new CallerConnection(this, this.handler, this.clock, head);
		this.connections.put(channel, connection);
		channel.closeFuture().addListener((done) -> this.connections.remove(channel));
		channel.pipeline()
			.addLast(head.beforeCodec(),
					new HttpServerCodec(MAX_REQUEST_LINE_BYTES, now.headerBytes(), MAX_CHUNK_BYTES), head.afterCodec(),
					new RequestAggregator(now.bodyBytes(), connection::hasRequest), connection);
	}

	/**
	 * Closes connections that have exceeded the timeout for headers or for idle
	 * connections.
	 */
	void closeTimedOut() {
		CallerLimits now = this.limits.get();
		long head = now.headerTimeout().plus(TIMEOUT_MARGIN).toMillis();
		long idle = now.idleTimeout().plus(TIMEOUT_MARGIN).toMillis();
		this.connections.forEach((channel, connection) -> channel.eventLoop().execute(() -> {
			connection.rejectSlowHead(head);
			connection.closeIdle(idle);
		}));
	}

	/**
	 * Closes connections without a request in progress.
	 */
	public void closeIdle() {
		this.connections.forEach((channel, connection) -> channel.eventLoop().execute(() -> connection.closeIdle(0)));
	}

	/**
	 * Closes each connection after its next response, which announces this with
	 * {@code Connection: close}. Requests that are queued behind the response are
	 * answered first.
	 */
	public void startDraining() {
		this.draining = true;
	}

	/**
	 * Returns the number of connections with a request that has no answer yet, or with an
	 * answer that is not sent completely.
	 * @return number of connections; 0 if no answer is lost when the process ends
	 */
	public int unfinishedCount() {
		return (int) this.connections.values().stream().filter(CallerConnection::isUnfinished).count();
	}

	boolean isDraining() {
		return this.draining;
	}

}
