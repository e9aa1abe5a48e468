package io.bilberryvalve.wire;

import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;

import com.google.protobuf.ByteString;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.wire.proto.Payload;
import io.bilberryvalve.wire.proto.PeerMessage;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class PeerTransportTests {

	// Guards against a send queue that grows without limit while the peer does not
	// read.
	@Example
	void queueOfStalledConnectionIsBounded() throws Exception {
		CompletableFuture<Void> release = new CompletableFuture<>();
		try (PeerTransport stalled = transport("vm-b", new StalledListener(release));
				PeerTransport sender = transport("vm-a", new StalledListener(release))) {
			Address address = stalled.listen("127.0.0.1", 0);
			PeerConnection connection = sender.connect(address).toCompletableFuture().get(10, TimeUnit.SECONDS);
			PeerMessage message = PeerMessage.newBuilder()
				.setSender("vm-a")
				.setIncarnation(1)
				.setPayload(Payload.newBuilder().setBody(ByteString.copyFrom(new byte[1 << 19])))
				.build();
			int accepted = 0;
			while (accepted < 1000 && connection.send(message)) {
				accepted++;
			}
			assertThat(accepted).isLessThan(1000);
			assertThat(connection.queuedBytes()).isLessThanOrEqualTo(TransportLimits.defaults().maxQueuedBytes());
			release.complete(null);
		}
	}

	// Guards against a failed handshake when a peer connects to a starting daemon
	// before that daemon knows its own identity.
	@Example
	void connectionWaitsUntilTheIdentityIsKnown() throws Exception {
		AtomicReference<PeerIdentity> identity = new AtomicReference<>();
		CompletableFuture<Void> release = CompletableFuture.completedFuture(null);
		try (PeerTransport starting = new PeerTransport(TestPeer.SECRET, () -> Objects.requireNonNull(identity.get()),
				TransportLimits.defaults(), new StalledListener(release));
				PeerTransport peer = transport("vm-a", new StalledListener(release))) {
			Address address = starting.bind("127.0.0.1", 0);
			CompletableFuture<PeerConnection> connection = peer.connect(address).toCompletableFuture();
			identity.set(identity("vm-b"));
			starting.startAccepting();
			assertThat(connection.get(10, TimeUnit.SECONDS)).isNotNull();
		}
	}

	private static PeerIdentity identity(String vm) {
		return new PeerIdentity(new VmId(vm), 1, new DataCentreId("dc"), new Address("127.0.0.1", 1),
				new Address("127.0.0.1", 2));
	}

	private static PeerTransport transport(String vm, ConnectionListener listener) {
		PeerIdentity self = identity(vm);
		return new PeerTransport(TestPeer.SECRET, () -> self, TransportLimits.defaults(), listener);
	}

	/**
	 * Listener that blocks in each message until it is released.
	 *
	 * @param release completed by the test to release the listener
	 */
	private record StalledListener(CompletableFuture<Void> release) implements ConnectionListener {

		@Override
		public void onOpened(PeerConnection connection) {
		}

		@Override
		public void onMessage(PeerConnection connection, PeerMessage message) {
			this.release.join();
		}

		@Override
		public void onClosed(PeerConnection connection, String reason) {
		}

	}

}
