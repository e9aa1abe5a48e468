package io.bilberryvalve.daemon.peer;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;

/**
 * Exchanges messages with the other daemons of the federation and tracks which daemons
 * there are. All methods are non-blocking and safe for use by several threads.
 */
public interface PeerNetwork {

	/**
	 * Returns the known peers, which do not include this daemon.
	 * @return the peers, in the order of their VM identifiers
	 */
	List<Peer> peers();

	/**
	 * Sends a message to each connected peer. Delivery is not guaranteed.
	 * @param kind kind of the message
	 * @param body serialized protobuf message
	 */
	void broadcast(MessageKind kind, byte[] body);

	/**
	 * Sends a request to a peer and waits for its answer.
	 * @param target the VM of the peer
	 * @param kind kind of the message
	 * @param body serialized protobuf message
	 * @param timeout how long to wait for the answer
	 * @return the answer, or a problem if none arrives; the outcome of the problem is
	 * {@code not-run} only if nothing was sent
	 */
	CompletionStage<Result<byte[]>> call(VmId target, MessageKind kind, byte[] body, Duration timeout);

	/**
	 * Sets the receiver of broadcast messages of a kind, which replaces any earlier one.
	 * @param kind kind of the message
	 * @param receiver called on an I/O thread; it must not block
	 */
	void setReceiver(MessageKind kind, Receiver receiver);

	/**
	 * Sets the responder to calls of a kind, which replaces any earlier one.
	 * @param kind kind of the message
	 * @param responder called on an I/O thread; it must not block
	 */
	void setResponder(MessageKind kind, Responder responder);

	/**
	 * Receives the broadcast messages of other daemons.
	 */
	@FunctionalInterface
	interface Receiver {

		/**
		 * Receives a message.
		 * @param sender the VM of the peer that sent it
		 * @param body serialized protobuf message
		 */
		void receive(VmId sender, byte[] body);

	}

	/**
	 * Answers the calls of other daemons.
	 */
	@FunctionalInterface
	interface Responder {

		/**
		 * Answers a call.
		 * @param sender the VM of the peer that sent it
		 * @param body serialized protobuf message
		 * @return the answer as a serialized protobuf message; if the stage fails, the
		 * caller gets a problem with the message of the exception
		 */
		CompletionStage<byte[]> respond(VmId sender, byte[] body);

	}

}
