package io.bilberryvalve.daemon.peer;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;

/**
 * Peer network without peers, for an entry that runs alone. Broadcasts are dropped and
 * every call fails with the outcome {@code not-run}.
 */
public final class IsolatedPeerNetwork implements PeerNetwork {

	@Override
	public List<Peer> peers() {
		return List.of();
	}

	@Override
	public void broadcast(MessageKind kind, byte[] body) {
	}

	@Override
	public CompletionStage<Result<byte[]>> call(VmId target, MessageKind kind, byte[] body, Duration timeout) {
		return CompletableFuture.completedFuture(Result.failed(Problem.notRun(ProblemKind.UNAVAILABLE,
				"entry " + target + " is not connected", "repeat the request at another entry")));
	}

	@Override
	public void setReceiver(MessageKind kind, Receiver receiver) {
	}

	@Override
	public void setResponder(MessageKind kind, Responder responder) {
	}

}
