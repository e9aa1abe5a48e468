package io.bilberryvalve.daemon.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;

import io.bilberryvalve.daemon.lifecycle.Lifecycle;
import io.bilberryvalve.daemon.lifecycle.ServingState;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RegionId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.wire.FederationSecret;
import io.bilberryvalve.wire.PeerConnection;

/**
 * Several {@link NettyPeerNetwork}s in one process that share a manual clock and connect
 * over the loopback interface.
 */
final class TestFederation implements AutoCloseable {

	static final FederationSecret SECRET = FederationSecret.of("a secret for tests only");

	final ManualClock clock = new ManualClock();

	final List<NettyPeerNetwork> networks = new ArrayList<>();

	final List<Lifecycle> lifecycles = new ArrayList<>();

	final Set<PeerConnection> silencedConnections = new HashSet<>();

	final List<Address> seeds = new CopyOnWriteArrayList<>();

	NettyPeerNetwork add(String vm, long incarnation) {
		return add(vm, incarnation, SECRET);
	}

	NettyPeerNetwork add(String vm, long incarnation, FederationSecret secret) {
		PeerSettings settings = PeerSettings.of(new VmId(vm), incarnation, new DataCentreId("dc-1"),
				new Address("127.0.0.1", 8001), "127.0.0.1", 0, secret);
		Lifecycle lifecycle = new Lifecycle();
		lifecycle.advanceTo(ServingState.READY);
		NettyPeerNetwork network = new NettyPeerNetwork(settings, lifecycle, () -> this.seeds,
				ConfigurationVersions.NONE, (dataCentre) -> new RegionId("region"), this.clock);
		network.setResponder(MessageKind.RESUME, (sender, body) -> CompletableFuture.completedFuture(body));
		Address address = network.startWithoutTimer();
		this.lifecycles.add(lifecycle);
		if (this.seeds.isEmpty()) {
			this.seeds.add(address);
		}
		this.networks.add(network);
		return network;
	}

	void remove(NettyPeerNetwork network) {
		this.networks.remove(network);
		network.close();
	}

	/**
	 * Advances the clock by 50 ms, lets each network do its periodic work and waits until
	 * all messages sent have been handled, so that the manual clock does not advance past
	 * messages that are still under way.
	 */
	void step() {
		this.clock.advance(Duration.ofMillis(50));
		this.networks.forEach(NettyPeerNetwork::tick);
		List<CompletableFuture<?>> barriers = new ArrayList<>();
		for (NettyPeerNetwork network : this.networks) {
			for (PeerConnection connection : network.connections()) {
				if (this.silencedConnections.contains(connection)) {
					continue;
				}
				barriers.add(network.send(connection, MessageKind.RESUME, new byte[0], Duration.ofHours(1))
					.toCompletableFuture());
			}
		}
		CompletableFuture<Void> all = CompletableFuture.allOf(barriers.toArray(new CompletableFuture<?>[0]));
		Await.until("messages handled", all::isDone);
	}

	void await(String condition, BooleanSupplier reached) {
		Await.until(condition, reached, this::step);
	}

	void awaitConnected() {
		int others = this.networks.size() - 1;
		await("full mesh", () -> this.networks.stream()
			.allMatch((network) -> network.connectedVms().size() == others
					&& network.peers().stream().filter((peer) -> peer.state() == Peer.State.LIVE).count() == others));
	}

	@Override
	public void close() {
		this.networks.forEach(NettyPeerNetwork::close);
	}

}
