package io.bilberryvalve.daemon.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;

import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.wire.proto.Call;
import io.bilberryvalve.wire.proto.Payload;

/**
 * Dispatches messages to the receivers and calls to the responders that are registered
 * for their kind. An exception thrown by one of them does not close the connection, and a
 * broadcast without a receiver is ignored.
 */
final class PeerMessageDispatcher {

	private static final Logger LOGGER = System.getLogger(PeerMessageDispatcher.class.getName());

	private final ConcurrentHashMap<MessageKind, PeerNetwork.Receiver> receivers = new ConcurrentHashMap<>();

	private final ConcurrentHashMap<MessageKind, PeerNetwork.Responder> responders = new ConcurrentHashMap<>();

	void setReceiver(MessageKind kind, PeerNetwork.Receiver receiver) {
		this.receivers.put(kind, receiver);
	}

	void setResponder(MessageKind kind, PeerNetwork.Responder responder) {
		this.responders.put(kind, responder);
	}

	void dispatch(VmId sender, Payload payload) {
		PeerNetwork.Receiver receiver = kind(payload.getKind()).map(this.receivers::get).orElse(null);
		if (receiver == null) {
			return;
		}
		try {
			receiver.receive(sender, payload.getBody().toByteArray());
		}
		catch (RuntimeException ex) {
			LogEvent.of("peer-message-failed")
				.with("peer", sender)
				.with("kind", payload.getKind())
				.with("reason", ex)
				.log(LOGGER, Level.WARNING);
		}
	}

	CompletionStage<byte[]> dispatch(VmId sender, Call call) {
		PeerNetwork.Responder responder = kind(call.getKind()).map(this.responders::get).orElse(null);
		if (responder == null) {
			return CompletableFuture
				.failedFuture(new IllegalStateException("the entry does not answer calls of kind " + call.getKind()));
		}
		try {
			return responder.respond(sender, call.getBody().toByteArray());
		}
		catch (RuntimeException ex) {
			return CompletableFuture.failedFuture(ex);
		}
	}

	private static Optional<MessageKind> kind(String name) {
		return Arrays.stream(MessageKind.values()).filter((kind) -> kind.name().equals(name)).findFirst();
	}

}
