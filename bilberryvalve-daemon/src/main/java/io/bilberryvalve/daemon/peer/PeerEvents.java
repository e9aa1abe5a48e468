package io.bilberryvalve.daemon.peer;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import com.google.protobuf.ByteString;
import io.bilberryvalve.model.log.LogEvent;
import io.bilberryvalve.wire.ConnectionListener;
import io.bilberryvalve.wire.PeerConnection;
import io.bilberryvalve.wire.proto.Answer;
import io.bilberryvalve.wire.proto.Call;
import io.bilberryvalve.wire.proto.Heartbeat;
import io.bilberryvalve.wire.proto.PeerMessage;
import org.jspecify.annotations.Nullable;

/**
 * Handles connection events on the I/O threads of the transport: registers connections,
 * records heartbeats and passes messages on to {@link PeerMembership}, {@link PeerCalls}
 * and {@link PeerReceivers}.
 */
final class PeerEvents implements ConnectionListener {

	private static final Logger LOGGER = System.getLogger(PeerEvents.class.getName());

	private static final int MAX_FAILURE_CHARS = 300;

	private final PeerReceivers receivers;

	private final PeerCalls calls;

	private final PeerLinks links;

	private final ConfigurationStamps stamps;

	// Not complete until ready() is called. The transport binds its port before the
	// membership exists, because the membership needs the bound address; events that
	// arrive earlier wait.
	private final CompletableFuture<Ready> ready = new CompletableFuture<>();

	PeerEvents(PeerReceivers receivers, PeerCalls calls, PeerLinks links, ConfigurationStamps stamps) {
		this.receivers = receivers;
		this.calls = calls;
		this.links = links;
		this.stamps = stamps;
	}

	void ready(PeerMembership membership, PeerRounds rounds) {
		this.ready.complete(new Ready(membership, rounds));
	}

	@Override
	public void opened(PeerConnection connection) {
		PeerLink link = this.links.open(connection);
		LogEvent.of("peer-connected").with("peer", connection).log(LOGGER, Level.INFO);
		whenReady((now) -> now.rounds().greet(link));
	}

	@Override
	public void received(PeerConnection connection, PeerMessage message) {
		switch (message.getContentCase()) {
			case HEARTBEAT -> heartbeat(connection, message.getHeartbeat());
			case MEMBERS -> whenReady((now) -> now.membership().learn(message.getMembers()));
			case PAYLOAD -> this.receivers.deliver(connection.remote().vm(), message.getPayload());
			case CALL -> answer(connection, message.getCall());
			case ANSWER -> this.calls.answered(connection, message.getAnswer());
			default -> connection.close("a message has no known content");
		}
	}

	@Override
	public void closed(PeerConnection connection, String reason) {
		this.links.remove(connection);
		this.calls.closed(connection, reason);
		LogEvent.of("peer-disconnected").with("peer", connection).with("reason", reason).log(LOGGER, Level.INFO);
	}

	// Runs the action directly if possible: a malformed message then throws on the I/O
	// thread, and the transport closes the connection. A completion stage would
	// swallow the exception.
	private void whenReady(Consumer<Ready> action) {
		Ready now = this.ready.getNow(null);
		if (now != null) {
			action.accept(now);
		}
		else {
			this.ready.thenAccept(action);
		}
	}

	private void heartbeat(PeerConnection connection, Heartbeat heartbeat) {
		PeerLink link = this.links.find(connection);
		if (link != null) {
			link.heard(heartbeat);
		}
		whenReady((now) -> now.membership().heartbeat(connection.remote(), heartbeat));
		this.stamps.seen(connection.remote().vm(),
				new ConfigurationStamps.Stamp(heartbeat.getConfigurationVersion(), heartbeat.getConfigurationDigest()));
	}

	private void answer(PeerConnection connection, Call call) {
		PeerLink link = this.links.find(connection);
		if (link != null) {
			link.used();
		}
		this.receivers.deliver(connection.remote().vm(), call).whenComplete((body, failure) -> {
			Answer.Builder answer = Answer.newBuilder().setCorrelation(call.getCorrelation());
			if (failure == null) {
				answer.setBody(ByteString.copyFrom(body));
			}
			else {
				answer.setFailure(describe(failure));
			}
			if (!connection.send(PeerEnvelopes.envelope(connection).setAnswer(answer).build())) {
				String reason = "the answer could not be sent; it is too large or the connection is congested";
				answer.clearBody().setFailure(reason);
				connection.send(PeerEnvelopes.envelope(connection).setAnswer(answer).build());
			}
		});
	}

	private static String describe(@Nullable Throwable failure) {
		String text = (failure != null && failure.getMessage() != null) ? failure.getMessage()
				: "the entry failed to answer";
		return (text.length() > MAX_FAILURE_CHARS) ? text.substring(0, MAX_FAILURE_CHARS) : text;
	}

	private record Ready(PeerMembership membership, PeerRounds rounds) {

	}

}
