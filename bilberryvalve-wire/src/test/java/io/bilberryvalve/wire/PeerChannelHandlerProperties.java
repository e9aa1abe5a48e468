package io.bilberryvalve.wire;

import com.google.protobuf.ByteString;
import io.bilberryvalve.wire.proto.Heartbeat;
import io.bilberryvalve.wire.proto.Payload;
import io.bilberryvalve.wire.proto.PeerMessage;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.lifecycle.BeforeTry;

import static org.assertj.core.api.Assertions.assertThat;

class PeerChannelHandlerProperties {

	private TestPeer initiator;

	private TestPeer acceptor;

	@BeforeTry
	void connect() {
		this.initiator = new TestPeer("vm-a", true, TestPeer.SECRET);
		this.acceptor = new TestPeer("vm-b", false, TestPeer.SECRET);
	}

	@Example
	void authenticatesBothSides() {
		TestPeer.exchange(this.initiator, this.acceptor);
		assertThat(this.initiator.opened.get(0).remote().vm().value()).isEqualTo("vm-b");
		assertThat(this.acceptor.opened.get(0).remote().vm().value()).isEqualTo("vm-a");
		assertThat(this.initiator.opened.get(0).send(message("vm-a", 1))).isTrue();
		TestPeer.exchange(this.initiator, this.acceptor);
		assertThat(this.acceptor.received).containsExactly(message("vm-a", 1));
	}

	// Guards against a peer without the federation secret, and against an acceptor
	// that sends its proof to such a peer.
	@Example
	void refusesWrongSecretWithoutProof() {
		TestPeer stranger = new TestPeer("vm-a", true, FederationSecret.of("another secret for tests"));
		stranger.passTo(this.acceptor);
		this.acceptor.passTo(stranger);
		stranger.passTo(this.acceptor);
		assertThat(this.acceptor.channel.isActive()).isFalse();
		assertThat(this.acceptor.opened).isEmpty();
		assertThat(this.acceptor.written()).isEmpty();
	}

	// Guards against a reflection attack, in which a peer without the secret returns a
	// daemon's own messages.
	@Example
	void refusesReflectedMessages() {
		byte[] hello = this.initiator.written();
		this.initiator.feed(hello);
		assertThat(this.initiator.channel.isActive()).isFalse();
		assertThat(this.initiator.opened).isEmpty();
	}

	// Guards against a replay attack, in which messages recorded on an earlier
	// connection are sent again.
	@Example
	void refusesReplayedHandshake() {
		byte[] hello = this.initiator.written();
		this.acceptor.feed(hello);
		this.acceptor.passTo(this.initiator);
		byte[] proof = this.initiator.written();
		TestPeer second = new TestPeer("vm-b", false, TestPeer.SECRET);
		second.feed(hello);
		second.feed(proof);
		assertThat(second.opened).isEmpty();
		assertThat(second.channel.isActive()).isFalse();
	}

	// Guards against an authenticated daemon that sends messages in the name of
	// another VM or of another incarnation.
	@Property(seed = "41")
	void refusesMessagesOfAnotherSender(@ForAll @IntRange(min = 0, max = 1) int field) {
		TestPeer.exchange(this.initiator, this.acceptor);
		PeerMessage forged = (field == 0) ? message("vm-c", 1) : message("vm-a", 2);
		this.initiator.opened.get(0).send(forged);
		TestPeer.exchange(this.initiator, this.acceptor);
		assertThat(this.acceptor.received).isEmpty();
		assertThat(this.acceptor.channel.isActive()).isFalse();
	}

	// Guards against random bytes that are accepted as a handshake, cause an exception
	// outside the handler or stay buffered.
	@Property(seed = "42")
	void garbageNeverOpensConnection(@ForAll @Size(max = 6000) byte[] garbage) {
		this.acceptor.feed(garbage);
		this.acceptor.channel.checkException();
		assertThat(this.acceptor.opened).isEmpty();
		this.initiator.written();
		this.initiator.feed(garbage);
		this.initiator.channel.checkException();
		assertThat(this.initiator.opened).isEmpty();
	}

	// Guards against a handshake that succeeds although a byte of the initiator's
	// hello message was changed.
	@Property(seed = "43")
	void changedByteNeverAuthenticates(@ForAll @IntRange(min = 0, max = 400) int position,
			@ForAll @IntRange(min = 1, max = 255) int change) {
		byte[] hello = this.initiator.written();
		hello[position % hello.length] ^= (byte) change;
		this.acceptor.feed(hello);
		TestPeer.exchange(this.acceptor, this.initiator);
		assertThat(this.acceptor.opened).isEmpty();
		assertThat(this.initiator.opened).isEmpty();
	}

	// Guards against a changed byte on an authenticated connection that causes an
	// exception outside the handler or makes the handler accept a message of another
	// sender.
	@Property(seed = "44")
	void changedByteOnOpenConnectionIsContained(@ForAll @IntRange(min = 0, max = 200) int position,
			@ForAll @IntRange(min = 1, max = 255) int change) {
		TestPeer.exchange(this.initiator, this.acceptor);
		this.initiator.opened.get(0).send(message("vm-a", 1));
		byte[] bytes = this.initiator.written();
		bytes[position % bytes.length] ^= (byte) change;
		this.acceptor.feed(bytes);
		this.acceptor.channel.checkException();
		assertThat(this.acceptor.received).allMatch((message) -> message.getSender().equals("vm-a"));
	}

	// Guards against oversized frames that exhaust the memory of a daemon.
	@Example
	void closesOnOversizedFrames() {
		this.acceptor.feed(new byte[] { 0, 0, 0x20, 0 });
		assertThat(this.acceptor.channel.isActive()).as("8 KiB before authentication").isFalse();
		TestPeer open = new TestPeer("vm-c", false, TestPeer.SECRET);
		TestPeer.exchange(this.initiator, open);
		assertThat(open.opened).hasSize(1);
		open.feed(new byte[] { 0, 0x20, 0, 0 });
		assertThat(open.channel.isActive()).as("2 MiB after authentication").isFalse();
	}

	// Raising the frame limit for large configurations must not let an unauthenticated
	// peer fill the memory of a daemon. A configuration of the permitted size must
	// still pass, even behind a queued heartbeat.
	@Example
	void acceptsLargeTextsOnlyAfterAuthentication() {
		TransportLimits limits = TransportLimits.defaults().withPayloadBytes(16 << 20);
		TestPeer sender = new TestPeer("vm-a", true, TestPeer.SECRET, limits);
		TestPeer receiver = new TestPeer("vm-b", false, TestPeer.SECRET, limits);
		TestPeer stranger = new TestPeer("vm-b", false, TestPeer.SECRET, limits);
		stranger.feed(new byte[] { 0, 0, 0x20, 0 });
		assertThat(stranger.channel.isActive()).as("8 KiB before authentication").isFalse();
		TestPeer.exchange(sender, receiver);
		PeerConnection connection = sender.opened.get(0);
		assertThat(connection.send(large(18 << 20))).as("above the limit").isFalse();
		PeerMessage largest = large(16 << 20).toBuilder().setSender("vm-a").setIncarnation(1).build();
		assertThat(connection.send(message("vm-a", 1))).isTrue();
		assertThat(connection.send(largest)).as("behind a heartbeat").isTrue();
		TestPeer.exchange(sender, receiver);
		assertThat(receiver.received).containsExactly(message("vm-a", 1), largest);
		receiver.feed(new byte[] { 2, 0, 0, 0 });
		assertThat(receiver.channel.isActive()).as("32 MiB after authentication").isFalse();
	}

	// Guards against sending a message above the frame limit, on which the other side
	// would close the connection.
	@Example
	void refusesMessagesAboveFrameLimit() {
		TestPeer.exchange(this.initiator, this.acceptor);
		PeerConnection connection = this.initiator.opened.get(0);
		assertThat(connection.send(large(2 << 20))).isFalse();
		assertThat(connection.send(large(1 << 19))).isTrue();
	}

	private static PeerMessage large(int bytes) {
		return PeerMessage.newBuilder()
			.setPayload(Payload.newBuilder().setBody(ByteString.copyFrom(new byte[bytes])))
			.build();
	}

	private static PeerMessage message(String sender, long incarnation) {
		return PeerMessage.newBuilder()
			.setSender(sender)
			.setIncarnation(incarnation)
			.setHeartbeat(Heartbeat.newBuilder().setBeat(5))
			.build();
	}

}
