package io.bilberryvalve.wire;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.wire.proto.PeerMessage;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;

/**
 * One side of an in-memory connection, with a real {@link PeerChannelHandler} on an
 * embedded channel.
 */
final class TestPeer implements ConnectionListener {

	static final FederationSecret SECRET = FederationSecret.of("a secret for tests only");

	final List<PeerConnection> opened = new ArrayList<>();

	final List<PeerMessage> received = new ArrayList<>();

	final EmbeddedChannel channel = new EmbeddedChannel();

	TestPeer(String vm, boolean initiator, FederationSecret secret) {
		this(vm, initiator, secret, TransportLimits.defaults());
	}

	TestPeer(String vm, boolean initiator, FederationSecret secret, TransportLimits limits) {
		PeerIdentity self = new PeerIdentity(new VmId(vm), 1, new DataCentreId("dc"), new Address("127.0.0.1", 1),
				new Address("127.0.0.1", 2));
		PeerChannelHandler handler = new PeerChannelHandler(new Handshake(secret, self, initiator), initiator, limits,
				this, new CompletableFuture<>());
		handler.install(this.channel.pipeline());
		this.channel.pipeline().fireChannelActive();
	}

	/**
	 * Passes bytes between two sides until neither writes any more.
	 * @param a one side
	 * @param b the other side
	 */
	static void exchange(TestPeer a, TestPeer b) {
		boolean moved = true;
		while (moved) {
			moved = a.passTo(b) | b.passTo(a);
		}
	}

	/**
	 * Passes the bytes that this side has written to another side.
	 * @param other receives the bytes
	 * @return whether there were any
	 */
	boolean passTo(TestPeer other) {
		byte[] bytes = written();
		other.feed(bytes);
		return bytes.length > 0;
	}

	byte[] written() {
		ByteBuf all = Unpooled.buffer();
		for (ByteBuf next = this.channel.readOutbound(); next != null; next = this.channel.readOutbound()) {
			all.writeBytes(next);
			next.release();
		}
		return ByteBufUtil.getBytes(all);
	}

	void feed(byte[] bytes) {
		if (this.channel.isActive()) {
			this.channel.writeInbound(Unpooled.wrappedBuffer(bytes));
		}
	}

	@Override
	public void onOpened(PeerConnection connection) {
		this.opened.add(connection);
	}

	@Override
	public void onMessage(PeerConnection connection, PeerMessage message) {
		this.received.add(message);
	}

	@Override
	public void onClosed(PeerConnection connection, String reason) {
		this.opened.remove(connection);
	}

}
