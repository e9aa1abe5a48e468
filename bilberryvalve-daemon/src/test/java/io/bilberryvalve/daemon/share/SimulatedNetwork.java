package io.bilberryvalve.daemon.share;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiPredicate;

import io.bilberryvalve.daemon.peer.MessageKind;
import io.bilberryvalve.daemon.peer.Peer;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.Problem;
import io.bilberryvalve.model.ProblemKind;
import io.bilberryvalve.model.Result;
import io.bilberryvalve.model.VmId;
import org.jspecify.annotations.Nullable;

/**
 * Simulated peer network that delivers broadcasts with delays, losses, duplicates and
 * partitions.
 */
final class SimulatedNetwork {

	private static final long ABSENT_MILLIS = 5000;

	private final Clock clock;

	private final Random random;

	private final TreeMap<VmId, Port> ports = new TreeMap<>();

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(
			Comparator.comparingLong(Delivery::atMillis).thenComparingLong(Delivery::number));

	private final Map<String, Long> separatedSince = new HashMap<>();

	private double loss;

	private double duplicates;

	private int maxDelayMillis = 20;

	private BiPredicate<VmId, VmId> partition = (from, to) -> false;

	private long number;

	SimulatedNetwork(Clock clock, Random random) {
		this.clock = clock;
		this.random = random;
	}

	void setFaults(double lossRate, double duplicateRate, int delayMillis) {
		this.loss = lossRate;
		this.duplicates = duplicateRate;
		this.maxDelayMillis = delayMillis;
	}

	void setPartition(BiPredicate<VmId, VmId> separated) {
		this.partition = separated;
	}

	PeerNetwork join(VmId vm) {
		Port port = new Port(vm);
		this.ports.put(vm, port);
		return port;
	}

	void deliver() {
		long now = this.clock.millis();
		while (!this.deliveries.isEmpty() && this.deliveries.peek().atMillis() <= now) {
			Delivery next = this.deliveries.poll();
			PeerNetwork.Receiver target = this.ports.get(next.to()).receiver;
			if (target != null) {
				target.receive(next.from(), next.body());
			}
		}
	}

	private boolean separated(VmId a, VmId b) {
		String key = a + "/" + b;
		if (!this.partition.test(a, b)) {
			this.separatedSince.remove(key);
			return false;
		}
		this.separatedSince.putIfAbsent(key, this.clock.millis());
		return true;
	}

	private record Delivery(long atMillis, long number, VmId from, VmId to, byte[] body) {

	}

	private final class Port implements PeerNetwork {

		private final VmId self;

		private PeerNetwork.@Nullable Receiver receiver;

		Port(VmId self) {
			this.self = self;
		}

		@Override
		public List<Peer> peers() {
			SimulatedNetwork network = SimulatedNetwork.this;
			List<Peer> peers = new ArrayList<>();
			for (VmId vm : network.ports.keySet()) {
				if (!vm.equals(this.self)) {
					boolean absent = network.separated(this.self, vm) && network.clock.millis()
							- network.separatedSince.get(this.self + "/" + vm) >= ABSENT_MILLIS;
					peers.add(new Peer(vm, 1, new DataCentreId("dc"), new Address("127.0.0.1", 1),
							absent ? Peer.State.ABSENT : Peer.State.LIVE));
				}
			}
			return peers;
		}

		@Override
		public void broadcast(MessageKind kind, byte[] body) {
			for (VmId to : SimulatedNetwork.this.ports.keySet()) {
				if (!to.equals(this.self)) {
					send(to, body);
				}
			}
		}

		private void send(VmId to, byte[] body) {
			SimulatedNetwork network = SimulatedNetwork.this;
			boolean lost = network.random.nextDouble() < network.loss;
			int copies = (network.random.nextDouble() < network.duplicates) ? 2 : 1;
			for (int i = 0; i < copies && !lost && !network.separated(this.self, to); i++) {
				long delay = 1 + network.random.nextInt(network.maxDelayMillis);
				network.deliveries
					.add(new Delivery(network.clock.millis() + delay, network.number++, this.self, to, body));
			}
		}

		@Override
		public CompletionStage<Result<byte[]>> call(VmId target, MessageKind kind, byte[] body, Duration timeout) {
			return CompletableFuture.completedFuture(
					Result.failed(Problem.notRun(ProblemKind.UNAVAILABLE, "calls are not simulated", "use broadcast")));
		}

		@Override
		public void setReceiver(MessageKind kind, PeerNetwork.Receiver newReceiver) {
			this.receiver = newReceiver;
		}

		@Override
		public void setResponder(MessageKind kind, Responder answerer) {
		}

	}

}
