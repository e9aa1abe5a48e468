package io.bilberryvalve.wire;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.security.SecureRandom;

import com.google.protobuf.ByteString;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.wire.proto.Hello;
import io.bilberryvalve.wire.proto.PeerMessage;
import io.bilberryvalve.wire.proto.Proof;
import org.jspecify.annotations.Nullable;

/**
 * Performs one side of the mutual authentication at the start of a connection. Each side
 * sends a {@code Hello} with a random nonce and its identity. Each side then proves that
 * it knows the federation secret by an HMAC over its role and both hello messages. The
 * role prevents reflection attacks, the nonces prevent replay, and the identities bind
 * the proof to the claimed VM. The accepting side sends its proof only after it has
 * verified that of the initiating side. Not safe for use by several threads.
 */
final class Handshake {

	private static final SecureRandom RANDOM = new SecureRandom();

	private static final int NONCE_BYTES = 32;

	private static final String INITIATOR = "bilberryvalve-initiator-1";

	private static final String ACCEPTOR = "bilberryvalve-acceptor-1";

	private final FederationSecret secret;

	private final PeerIdentity self;

	private final boolean initiator;

	private final PeerMessage ownHello;

	private @Nullable PeerMessage remoteHello;

	private @Nullable PeerIdentity remote;

	Handshake(FederationSecret secret, PeerIdentity self, boolean initiator) {
		this.secret = secret;
		this.self = self;
		this.initiator = initiator;
		byte[] nonce = new byte[NONCE_BYTES];
		RANDOM.nextBytes(nonce);
		Hello hello = Hello.newBuilder()
			.setNonce(ByteString.copyFrom(nonce))
			.setDataCentre(self.dataCentre().value())
			.setCallerAddress(self.callerAddress().toString())
			.setPeerAddress(self.peerAddress().toString())
			.build();
		this.ownHello = PeerMessage.newBuilder()
			.setSender(self.vm().value())
			.setIncarnation(self.incarnation())
			.setHello(hello)
			.build();
	}

	PeerIdentity localIdentity() {
		return this.self;
	}

	PeerMessage hello() {
		return this.ownHello;
	}

	/**
	 * Stores the hello message of the other side, which may send only one.
	 * @param message first message of the other side
	 * @throws HandshakeException if the message is not a valid hello
	 */
	void acceptHello(PeerMessage message) throws HandshakeException {
		if (this.remoteHello != null || !message.hasHello() || message.getHello().getNonce().size() != NONCE_BYTES) {
			throw new HandshakeException("the peer sent no valid hello message");
		}
		Hello hello = message.getHello();
		try {
			this.remote = new PeerIdentity(new VmId(message.getSender()), message.getIncarnation(),
					new DataCentreId(hello.getDataCentre()), Address.parse(hello.getCallerAddress()),
					Address.parse(hello.getPeerAddress()));
		}
		catch (IllegalArgumentException ex) {
			throw new HandshakeException("the peer's identity is not valid: " + ex.getMessage());
		}
		if (message.getSender().equals(this.ownHello.getSender())) {
			throw new HandshakeException("the peer claims the VM of this daemon");
		}
		this.remoteHello = message;
	}

	PeerMessage createProof() throws HandshakeException {
		byte[] mac = this.secret.sign(transcript(this.initiator));
		return PeerMessage.newBuilder()
			.setSender(this.ownHello.getSender())
			.setIncarnation(this.ownHello.getIncarnation())
			.setProof(Proof.newBuilder().setMac(ByteString.copyFrom(mac)))
			.build();
	}

	/**
	 * Verifies the proof of the other side.
	 * @param message second message of the other side
	 * @return the authenticated identity of the other side
	 * @throws HandshakeException if the proof is missing or wrong, or if no hello message
	 * preceded it
	 */
	PeerIdentity verify(PeerMessage message) throws HandshakeException {
		byte[] expected = this.secret.sign(transcript(!this.initiator));
		PeerIdentity identity = this.remote;
		if (identity == null || !message.hasProof()
				|| !MessageDigest.isEqual(expected, message.getProof().getMac().toByteArray())) {
			throw new HandshakeException("the peer does not know the federation secret; compare the settings of both");
		}
		return identity;
	}

	private byte[] transcript(boolean byInitiator) throws HandshakeException {
		if (this.remoteHello == null) {
			throw new HandshakeException("the peer sent a proof before its hello message");
		}
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeUTF(byInitiator ? INITIATOR : ACCEPTOR);
			write(out, this.initiator ? this.ownHello : this.remoteHello);
			write(out, this.initiator ? this.remoteHello : this.ownHello);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	private static void write(DataOutputStream out, PeerMessage message) throws IOException {
		Hello hello = message.getHello();
		out.writeUTF(message.getSender());
		out.writeLong(message.getIncarnation());
		out.writeUTF(hello.getDataCentre());
		out.writeUTF(hello.getCallerAddress());
		out.writeUTF(hello.getPeerAddress());
		out.write(hello.getNonce().toByteArray());
	}

}
