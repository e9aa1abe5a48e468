package io.bilberryvalve.wire;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;

import io.bilberryvalve.wire.proto.PeerMessage;
import io.netty.channel.Channel;
import org.jspecify.annotations.Nullable;

/**
 * Authenticated connection to another daemon, backed by a Netty channel. Safe for use by
 * several threads.
 */
public final class PeerConnection {

	private final Channel channel;

	private final PeerIdentity local;

	private final PeerIdentity remote;

	private final boolean initiated;

	private final TransportLimits limits;

	private final AtomicInteger queuedBytes = new AtomicInteger();

	private final AtomicReference<@Nullable String> closeReason = new AtomicReference<>();

	PeerConnection(Channel channel, PeerIdentity local, PeerIdentity remote, boolean initiated,
			TransportLimits limits) {
		this.channel = channel;
		this.local = local;
		this.remote = remote;
		this.initiated = initiated;
		this.limits = limits;
	}

	/**
	 * Returns the identity that this daemon proved to the other one.
	 * @return the identity of this daemon when the connection was opened
	 */
	public PeerIdentity local() {
		return this.local;
	}

	/**
	 * Returns the authenticated identity of the other daemon.
	 * @return the identity that the other daemon proved
	 */
	public PeerIdentity remote() {
		return this.remote;
	}

	/**
	 * Returns whether this daemon opened the connection.
	 * @return true if this daemon opened it, false if it accepted it
	 */
	public boolean isInitiator() {
		return this.initiated;
	}

	/**
	 * Queues a message for sending.
	 * @param message complete message, including its sender
	 * @return whether it was queued; if not, nothing was or will be sent, because the
	 * connection is closed, its queue is full or the message exceeds the frame limit
	 */
	public boolean send(PeerMessage message) {
		int size = message.getSerializedSize();
		if (size > this.limits.maxFrameBytes() || !this.channel.isActive() || !tryReserveQueue(size)) {
			return false;
		}
		this.channel.writeAndFlush(message).addListener((done) -> this.queuedBytes.addAndGet(-size));
		return true;
	}

	/**
	 * Closes the connection. If it is closed several times, the first reason counts.
	 * @param reason why the connection is closed, for logs and error messages
	 */
	public void close(String reason) {
		this.closeReason.compareAndSet(null, reason);
		this.channel.close();
	}

	/**
	 * Returns the size of the messages that are queued and not yet written.
	 * @return size in bytes, without the length prefixes of the frames
	 */
	public int queuedBytes() {
		return this.queuedBytes.get();
	}

	@Override
	public String toString() {
		return this.remote.vm() + "#" + this.remote.incarnation() + (this.initiated ? " out" : " in");
	}

	String closeReason() {
		String reason = this.closeReason.get();
		return (reason != null) ? reason : "closed by the peer";
	}

	private boolean tryReserveQueue(int size) {
		int limit = this.limits.maxQueuedBytes();
		int before = this.queuedBytes.getAndAdd(size);
		// A single message may be larger than the limit of the queue. It is accepted
		// while the queue itself is within the limit; otherwise a queued heartbeat
		// would be enough to refuse a large configuration.
		int maxQueuedBefore = (size > limit) ? limit : limit - size;
		if (before > maxQueuedBefore) {
			this.queuedBytes.addAndGet(-size);
			return false;
		}
		return true;
	}

}
