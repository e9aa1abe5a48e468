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
 * records heartbeats and passes messages on to {@link PeerMembership},
 * {@link PendingCalls} and {@link PeerMessageDispatcher}.
 */
final class PeerEventHandler implements ConnectionListener {

	private static final Logger LOGGER = System.getLogger(PeerEventHandler.class.getName());

	private static final int MAX_FAILURE_CHARS = 300;

	private final PeerMessageDispatcher dispatcher;

	private final PendingCalls pendingCalls;

	private final ConnectionRegistry connections;

	private final ConfigurationVersions versions;

	// Not complete until ready() is called. The transport binds its port before the
	// membership exists, because the membership needs the bound address; events that
	// arrive earlier wait.
	private final CompletableFuture<Components> ready = new CompletableFuture<>();

	PeerEventHandler(PeerMessageDispatcher dispatcher, PendingCalls pendingCalls, ConnectionRegistry connections,
			ConfigurationVersions versions) {
		this.dispatcher = dispatcher;
		this.pendingCalls = pendingCalls;
		this.connections = connections;
		this.versions = versions;
	}

	void start(PeerMembership membership, PeerMaintenance maintenance) {
		this.ready.complete(new Components(membership, maintenance));
	}

	@Override
	public void onOpened(PeerConnection connection) {
		MonitoredConnection monitored = this.connections.add(connection);
		LogEvent.of("peer-connected").with("peer", connection).log(LOGGER, Level.INFO);
		whenStarted((now) -> now.maintenance().sendInitialState(monitored));
	}

	@Override
	public void onMessage(PeerConnection connection, PeerMessage message) {
		switch (message.getContentCase()) {
			case HEARTBEAT -> handleHeartbeat(connection, message.getHeartbeat());
			case MEMBERS -> whenStarted((now) -> now.membership().mergeDigest(message.getMembers()));
			case PAYLOAD -> this.dispatcher.dispatch(connection.remote().vm(), message.getPayload());
			case CALL -> handleCall(connection, message.getCall());
			case ANSWER -> this.pendingCalls.complete(connection, message.getAnswer());
			default -> connection.close("a message has no known content");
		}
	}

	@Override
	public void onClosed(PeerConnection connection, String reason) {
		this.connections.remove(connection);
		this.pendingCalls.onConnectionClosed(connection, reason);
		LogEvent.of("peer-disconnected").with("peer", connection).with("reason", reason).log(LOGGER, Level.INFO);
	}

	// Runs the action directly if possible: a malformed message then throws on the I/O
	// thread, and the transport closes the connection. A completion stage would
	// swallow the exception.
	private void whenStarted(Consumer<Components> action) {
		Components now = this.ready.getNow(null);
		if (now != null) {
			action.accept(now);
		}
		else {
			this.ready.thenAccept(action);
		}
	}

	private void handleHeartbeat(PeerConnection connection, Heartbeat heartbeat) {
		MonitoredConnection monitored = this.connections.find(connection);
		if (monitored != null) {
			monitored.recordHeartbeat(heartbeat);
		}
		whenStarted((now) -> now.membership().recordHeartbeat(connection.remote(), heartbeat));
		this.versions.onPeerVersion(connection.remote().vm(), new ConfigurationVersions.VersionDigest(
				heartbeat.getConfigurationVersion(), heartbeat.getConfigurationDigest()));
	}

	private void handleCall(PeerConnection connection, Call call) {
		MonitoredConnection monitored = this.connections.find(connection);
		if (monitored != null) {
			monitored.startCall();
		}
		this.dispatcher.dispatch(connection.remote().vm(), call).whenComplete((body, failure) -> {
			if (monitored != null) {
				monitored.endCall();
			}
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

	private record Components(PeerMembership membership, PeerMaintenance maintenance) {

	}

}
