package io.bilberryvalve.gateway.http;

import java.net.ConnectException;
import java.time.Clock;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.bilberryvalve.model.Address;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;

/**
 * Pool of connections to upstreams on one event loop. Not safe for use outside that event
 * loop.
 */
public final class UpstreamPool {

	/** Largest number of idle connections per address. */
	private static final int MAX_IDLE_PER_ADDRESS = 16;

	private final Transport transport;

	private final EventLoop loop;

	private final Clock clock;

	private final Map<String, Deque<UpstreamConnection>> idle = new HashMap<>();

	/**
	 * Creates a pool without connections.
	 * @param transport creates the sockets of new connections
	 * @param loop event loop of all connections
	 * @param clock monotonic clock
	 */
	public UpstreamPool(Transport transport, EventLoop loop, Clock clock) {
		this.transport = transport;
		this.loop = loop;
		this.clock = clock;
	}

	/**
	 * Returns the event loop of the connections.
	 * @return the event loop, whose thread alone may use this pool
	 */
	public EventLoop loop() {
		return this.loop;
	}

	/**
	 * Sends a request on an idle connection, or on a new one if no idle connection is
	 * usable.
	 * @param address address of the upstream
	 * @param call the request and the listener for its response
	 */
	public void send(Address address, UpstreamCall call) {
		if (isWithdrawn(call)) {
			return;
		}
		String key = address.toString();
		if (!call.requiresNewConnection()) {
			Deque<UpstreamConnection> connections = this.idle.get(key);
			UpstreamConnection connection = (connections != null) ? connections.pollLast() : null;
			while (connection != null && connections != null) {
				if (connection.isUsableAt(millis())) {
					connection.send(call);
					return;
				}
				connection.close();
				connection = connections.pollLast();
			}
		}
		connect(address, key, call);
	}

	private void connect(Address address, String key, UpstreamCall call) {
		UpstreamConnection connection = new UpstreamConnection(this, key);
		ChannelFuture opened = this.transport.clientBootstrap(this.loop).handler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline().addLast(connection.handlers());
			}

		}).connect(address.host(), address.port());
		opened.addListener((done) -> {
			if (call.isEnded()) {
				call.request().release();
				opened.channel().close();
			}
			else if (!done.isSuccess()) {
				call.request().release();
				if (isRefusal(done.cause())) {
					call.notifyConnectionRefused();
				}
				call.fail(false, "no connection: " + done.cause().getMessage());
			}
			else if (isWithdrawn(call)) {
				opened.channel().close();
			}
			else {
				connection.send(call);
			}
		});
	}

	private static boolean isWithdrawn(UpstreamCall call) {
		if (call.listener().maySend()) {
			return false;
		}
		call.request().release();
		call.fail(false, "the upstream wants no requests now");
		return true;
	}

	/**
	 * Finds out whether an address refuses connections, as that of a process that has
	 * ended.
	 * @param address address of the upstream
	 * @param timeoutMillis longest time to wait for the answer, in milliseconds
	 * @param refused receives, on the event loop of this pool, whether a connection was
	 * refused; {@code false} if it was accepted or nothing answered in time
	 */
	public void probe(Address address, int timeoutMillis, Consumer<Boolean> refused) {
		ChannelFuture opened = this.transport.clientBootstrap(this.loop)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, timeoutMillis)
			.handler(new ChannelInboundHandlerAdapter())
			.connect(address.host(), address.port());
		opened.addListener((done) -> {
			opened.channel().close();
			refused.accept(!done.isSuccess() && isRefusal(done.cause()));
		});
	}

	// A connection timeout is no refusal, since packets may have been lost.
	private static boolean isRefusal(Throwable cause) {
		return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
	}

	long millis() {
		return this.clock.millis();
	}

	void release(UpstreamConnection connection) {
		Deque<UpstreamConnection> connections = this.idle.computeIfAbsent(connection.key(),
				(key) -> new ArrayDeque<>());
		connections.addLast(connection);
		if (connections.size() > MAX_IDLE_PER_ADDRESS) {
			connections.removeFirst().close();
		}
	}

	void remove(UpstreamConnection connection) {
		Deque<UpstreamConnection> connections = this.idle.get(connection.key());
		if (connections != null) {
			connections.remove(connection);
			if (connections.isEmpty()) {
				this.idle.remove(connection.key());
			}
		}
	}

	/**
	 * Closes connections that have been idle for too long. Must be called a few times a
	 * second.
	 */
	public void closeExpired() {
		long now = millis();
		for (Deque<UpstreamConnection> connections : List.copyOf(this.idle.values())) {
			for (UpstreamConnection connection : List.copyOf(connections)) {
				if (!connection.isUsableAt(now)) {
					connections.remove(connection);
					connection.close();
				}
			}
		}
	}

}
