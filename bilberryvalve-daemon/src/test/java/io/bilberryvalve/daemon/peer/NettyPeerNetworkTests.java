package io.bilberryvalve.daemon.peer;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;

import io.bilberryvalve.config.DaemonLimits;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.wire.FederationSecret;
import io.bilberryvalve.wire.PeerConnection;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class NettyPeerNetworkTests {

	private static final Duration TIMEOUT = Duration.ofSeconds(1);

	// Guards against daemons that learn of the seed but never of each other.
	@Example
	void entriesThatKnowOnlyOneSeedFindEachOther() {
		try (TestFederation federation = new TestFederation()) {
			for (int i = 0; i < 4; i++) {
				federation.add("vm-" + i, 1);
			}
			federation.awaitConnected();
			assertThat(federation.networks.get(3).peers()).extracting((peer) -> peer.vm().value())
				.containsExactly("vm-0", "vm-1", "vm-2");
		}
	}

	// Guards against a broadcast that is delivered twice when two daemons are linked
	// by two connections.
	@Example
	void deliversBroadcastsOnceAndAnswersCalls() {
		try (TestFederation federation = new TestFederation()) {
			NettyPeerNetwork a = federation.add("vm-a", 1);
			NettyPeerNetwork b = federation.add("vm-b", 1);
			List<String> received = new CopyOnWriteArrayList<>();
			b.setReceiver(MessageKind.DEMAND, (sender, body) -> received.add(sender + ":" + text(body)));
			b.setResponder(MessageKind.KEY_CALL,
					(sender, body) -> CompletableFuture.completedFuture(bytes(text(body) + " done")));
			federation.awaitConnected();
			a.broadcast(MessageKind.DEMAND, bytes("one"));
			a.broadcast(MessageKind.DEMAND, bytes("two"));
			federation.await("two messages", () -> received.size() >= 2);
			assertThat(received).containsExactly("vm-a:one", "vm-a:two");
			Result<byte[]> answer = await(federation, a, "vm-b", MessageKind.KEY_CALL);
			assertThat(answer).isInstanceOfSatisfying(Result.Ok.class,
					(ok) -> assertThat(text((byte[]) ok.value())).isEqualTo("call done"));
		}
	}

	// Guards against a configuration that is accepted on submission but exceeds the
	// frame limit between daemons, so that a daemon that asks a peer for it never gets
	// it.
	@Example
	void carriesTheLargestPartOfAConfiguration() {
		try (TestFederation federation = new TestFederation()) {
			NettyPeerNetwork a = federation.add("vm-a", 1);
			NettyPeerNetwork b = federation.add("vm-b", 1);
			byte[] part = new byte[DaemonLimits.defaults().submissionBytes()];
			b.setResponder(MessageKind.CONFIGURATION_REQUEST,
					(sender, body) -> CompletableFuture.completedFuture(part));
			List<Integer> pushed = new CopyOnWriteArrayList<>();
			b.setReceiver(MessageKind.CONFIGURATION_PUSH, (sender, body) -> pushed.add(body.length));
			federation.awaitConnected();
			CompletableFuture<Result<byte[]>> answer = call(a, "vm-b", MessageKind.CONFIGURATION_REQUEST);
			Await.until("answer", answer::isDone);
			assertThat(answer.join()).isInstanceOfSatisfying(Result.Ok.class,
					(ok) -> assertThat((byte[]) ok.value()).hasSize(part.length));
			a.broadcast(MessageKind.CONFIGURATION_PUSH, part);
			Await.until("push", () -> !pushed.isEmpty());
			assertThat(pushed).containsExactly(part.length);
		}
	}

	// Guards against a call that is reported as not run although it was sent; without
	// an answer its outcome is unknown (R3).
	@Example
	void reportsNotRunOnlyIfNothingWasSent() {
		try (TestFederation federation = new TestFederation()) {
			NettyPeerNetwork a = federation.add("vm-a", 1);
			NettyPeerNetwork b = federation.add("vm-b", 1);
			b.setResponder(MessageKind.KEY_CALL, (sender, body) -> new CompletableFuture<>());
			federation.awaitConnected();
			assertThat(outcome(await(federation, a, "vm-b", MessageKind.KEY_CALL))).isEqualTo(Outcome.UNKNOWN);
			assertThat(outcome(await(federation, a, "vm-z", MessageKind.KEY_CALL))).isEqualTo(Outcome.NOT_RUN);
			CompletableFuture<Result<byte[]>> open = call(a, "vm-b", MessageKind.KEY_CALL);
			federation.remove(b);
			federation.await("answer", open::isDone);
			assertThat(outcome(open.join())).isEqualTo(Outcome.UNKNOWN);
		}
	}

	// Guards against a daemon that joins without knowing the federation secret.
	@Example
	void refusesWrongSecret() {
		try (TestFederation federation = new TestFederation()) {
			NettyPeerNetwork a = federation.add("vm-a", 1);
			NettyPeerNetwork stranger = federation.add("vm-s", 1, FederationSecret.of("another secret for tests"));
			federation.add("vm-b", 1);
			federation.await("the others are connected", () -> a.connectedVms().size() == 1);
			for (int i = 0; i < 40; i++) {
				federation.step();
			}
			assertThat(a.connectedVms()).containsExactly(new VmId("vm-b"));
			assertThat(stranger.peers()).isEmpty();
		}
	}

	// Guards against late information about an earlier incarnation that hides or
	// replaces the current one on the same VM.
	@Example
	void replacesRestartedPeerByNewIncarnation() {
		try (TestFederation federation = new TestFederation()) {
			NettyPeerNetwork a = federation.add("vm-a", 1);
			NettyPeerNetwork old = federation.add("vm-b", 5);
			federation.awaitConnected();
			federation.remove(old);
			federation.add("vm-b", 6);
			federation.await("the new run is known", () -> a.peers().get(0).incarnation() == 6);
			for (int i = 0; i < 40; i++) {
				federation.step();
				assertThat(a.peers()).extracting(Peer::incarnation).containsExactly(6L);
			}
			assertThat(a.peers().get(0).state()).isEqualTo(Peer.State.LIVE);
		}
	}

	// A restarted daemon whose clock was set back starts with a lower incarnation than
	// before, which its peers would ignore. It must take a higher one than they know.
	@Example
	void restartWithLowerIncarnationTakesHigherOne() {
		try (TestFederation federation = new TestFederation()) {
			NettyPeerNetwork a = federation.add("vm-a", 1);
			NettyPeerNetwork old = federation.add("vm-b", 50);
			federation.awaitConnected();
			federation.remove(old);
			federation.add("vm-b", 6);
			federation.await("raised", () -> a.peers().get(0).incarnation() == 51);
			assertThat(a.peers().get(0).state()).isEqualTo(Peer.State.LIVE);
		}
	}

	// Guards against peers that learn only by a timeout that a daemon is leaving (R5).
	@Example
	void leavingIsPushedAndAbsenceFollowsSilence() {
		try (TestFederation federation = new TestFederation()) {
			NettyPeerNetwork a = federation.add("vm-a", 1);
			NettyPeerNetwork b = federation.add("vm-b", 1);
			federation.awaitConnected();
			federation.lifecycles.get(1).advanceTo(ServingState.LEAVING);
			b.announceState();
			Await.until("leaving without further rounds", () -> a.peers().get(0).state() == Peer.State.LEAVING);
			federation.remove(b);
			for (int i = 0; i < 101; i++) {
				federation.step();
			}
			assertThat(a.peers().get(0).state()).isEqualTo(Peer.State.ABSENT);
		}
	}

	// One connection goes silent while new connections to the same peer work. The
	// silence timeout may pass only once, and the peer must not become absent.
	@Example
	void replacesSilentConnectionOnce() throws IOException {
		try (TestFederation federation = new TestFederation()) {
			NettyPeerNetwork b = federation.add("vm-b", 1);
			b.setResponder(MessageKind.KEY_CALL, (sender, body) -> CompletableFuture.completedFuture(body));
			try (BlackholeProxy proxy = new BlackholeProxy(federation.seeds.get(0))) {
				federation.seeds.set(0, proxy.address());
				NettyPeerNetwork a = federation.add("vm-a", 1);
				federation.awaitConnected();
				federation.seeds.clear();
				proxy.dropTraffic();
				federation.networks.forEach((network) -> federation.silencedConnections.addAll(network.connections()));
				CompletableFuture<Result<byte[]>> lost = a
					.call(new VmId("vm-b"), MessageKind.KEY_CALL, bytes("lost"), Duration.ofSeconds(30))
					.toCompletableFuture();
				long start = federation.clock.millis();
				federation.await("the lost call ends", lost::isDone);
				assertThat(federation.clock.millis() - start).isLessThanOrEqualTo(2500);
				assertThat(outcome(lost.join())).isEqualTo(Outcome.UNKNOWN);
				federation.awaitConnected();
				assertThat(federation.clock.millis() - start).isLessThan(5000);
				assertThat(await(federation, a, "vm-b", MessageKind.KEY_CALL)).isInstanceOf(Result.Ok.class);
			}
		}
	}

	// Guards against the outcome unknown before the deadline of a call, because the
	// connection that carries it was closed as redundant while the call was in progress.
	@Example
	void keepsARedundantConnectionWhileACallIsInProgress() {
		try (TestFederation federation = new TestFederation()) {
			NettyPeerNetwork a = federation.add("vm-a", 1);
			NettyPeerNetwork b = federation.add("vm-b", 1);
			federation.seeds.add(b.identity().peerAddress());
			CompletableFuture<byte[]> work = new CompletableFuture<>();
			b.setResponder(MessageKind.KEY_CALL, (sender, body) -> work);
			federation.await("connections in both directions", () -> hasBothDirections(a) && hasBothDirections(b));
			PeerConnection redundant = a.connections()
				.stream()
				.filter(PeerConnection::isInitiator)
				.findFirst()
				.orElseThrow();
			a.connections().stream().filter(PeerConnection::isInitiator).forEach(federation.silencedConnections::add);
			b.connections()
				.stream()
				.filter((connection) -> !connection.isInitiator())
				.forEach(federation.silencedConnections::add);
			CompletableFuture<Result<byte[]>> answer = a
				.send(redundant, MessageKind.KEY_CALL, bytes("call"), Duration.ofSeconds(30))
				.toCompletableFuture();
			for (int i = 0; i < 200; i++) {
				federation.step();
			}
			assertThat(answer).isNotDone();
			work.complete(bytes("done"));
			Await.until("answer", answer::isDone);
			assertThat(answer.join()).isInstanceOf(Result.Ok.class);
			federation.await("the redundant connection is closed", () -> !a.connections().contains(redundant));
		}
	}

	private static boolean hasBothDirections(NettyPeerNetwork network) {
		List<PeerConnection> all = network.connections();
		return all.stream().anyMatch(PeerConnection::isInitiator)
				&& all.stream().anyMatch((connection) -> !connection.isInitiator());
	}

	private static Result<byte[]> await(TestFederation federation, NettyPeerNetwork from, String to, MessageKind kind) {
		CompletableFuture<Result<byte[]>> answer = call(from, to, kind);
		federation.await("answer", answer::isDone);
		return answer.join();
	}

	private static CompletableFuture<Result<byte[]>> call(NettyPeerNetwork from, String to, MessageKind kind) {
		return from.call(new VmId(to), kind, bytes("call"), TIMEOUT).toCompletableFuture();
	}

	private static Outcome outcome(Result<byte[]> result) {
		Problem problem = ((Result.Failed<byte[]>) result).problem();
		return problem.outcome();
	}

	private static byte[] bytes(String text) {
		return text.getBytes(StandardCharsets.UTF_8);
	}

	private static String text(byte[] bytes) {
		return new String(bytes, StandardCharsets.UTF_8);
	}

}
