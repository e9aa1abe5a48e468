package io.bilberryvalve.daemon.peer;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;

/**
 * Sends messages to other daemons and knows who they are. All methods are non-blocking
 * and safe for use by several threads.
 */
public interface PeerNetwork {

	/**
	 * Returns the known peers without this daemon.
	 * @return the peers, in the order of their VM identifiers
	 */
	List<Peer> peers();

	/**
	 * Sends a message to each connected peer. Delivery is not guaranteed.
	 * @param kind kind of the message
	 * @param body protobuf bytes
	 */
	void broadcast(MessageKind kind, byte[] body);

	/**
	 * Sends a request to a peer and waits for its answer.
	 * @param target the peer
	 * @param kind kind of the message
	 * @param body protobuf bytes
	 * @param timeout how long to wait
	 * @return the answer; the outcome of a problem is {@code not-run} only if nothing was
	 * sent
	 */
	CompletionStage<Result<byte[]>> call(VmId target, MessageKind kind, byte[] body, Duration timeout);

	/**
	 * Sets the receiver of broadcast messages of a kind.
	 * @param kind kind of the message
	 * @param receiver the receiver; it must not block
	 */
	void setReceiver(MessageKind kind, Receiver receiver);

	/**
	 * Sets the answerer of calls of a kind.
	 * @param kind kind of the message
	 * @param answerer the answerer; it must not block
	 */
	void setResponder(MessageKind kind, Responder answerer);

	/**
	 * Receives broadcast messages.
	 */
	@FunctionalInterface
	interface Receiver {

		/**
		 * Receives a message.
		 * @param sender the sender
		 * @param body protobuf bytes
		 */
		void receive(VmId sender, byte[] body);

	}

	/**
	 * Answers calls.
	 */
	@FunctionalInterface
	interface Responder {

		/**
		 * Answers a call.
		 * @param sender the sender
		 * @param body protobuf bytes
		 * @return protobuf bytes of the answer
		 */
		CompletionStage<byte[]> respond(VmId sender, byte[] body);

	}

}
