package io.bilberryvalve.gateway.peer;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.logging.Level;
import java.util.logging.Logger;

import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.path.RunnerLoad;
import io.bilberryvalve.policy.quarantine.PartQuarantine;

/**
 * Daemons that exchange states without network on a paused clock. Each of them has its
 * own phase, so that their periods do not begin together.
 */
final class SimulatedFleet {

	static final int RUNNERS = 5;

	/** Writes a line for each pair of daemons in each test. */
	private static final Logger DIRECTORY_LOGGER = Logger.getLogger(PeerDirectory.class.getName());

	static {
		DIRECTORY_LOGGER.setLevel(Level.WARNING);
	}

	private static final long STEP_MILLIS = 5;

	/** Time between two checks; short against the period of a state. */
	private static final long CHECK_MILLIS = 25;

	private final ManualClock clock = new ManualClock(Instant.ofEpochMilli(1_000_000));

	private final Random random;

	private final Map<String, Node> nodes = new TreeMap<>();

	private final Map<Address, Node> byAddress = new LinkedHashMap<>();

	private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(
			Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::number));

	private long deliveryCount;

	private BiPredicate<Node, Node> link = (from, to) -> true;

	private double loss;

	private int maxDelayMillis = 2;

	SimulatedFleet(Random random) {
		this.random = random;
	}

	/**
	 * Creates daemons in three data centres that know each other's addresses.
	 * @param random source of phases, losses and delays
	 * @param daemons number of daemons
	 * @return the fleet
	 */
	static SimulatedFleet of(Random random, int daemons) {
		SimulatedFleet fleet = new SimulatedFleet(random);
		for (int i = 0; i < daemons; i++) {
			fleet.add(String.format("vm%03d", i), "abc".substring(i % 3, i % 3 + 1), (i < 6) ? 4 : 0.25);
		}
		fleet.introduceAll();
		return fleet;
	}

	Node add(String vm, String dataCentre, double capacity) {
		Address address = new Address("10.0." + this.byAddress.size() / 250 + "." + (1 + this.byAddress.size() % 250),
				7000);
		Node node = new Node(vm, new DataCentreId(dataCentre), address, capacity, 1);
		this.nodes.put(vm, node);
		this.byAddress.put(address, node);
		return node;
	}

	void introduceAll() {
		this.nodes.values()
			.forEach((node) -> this.byAddress.keySet()
				.forEach((address) -> node.protocol.directory().addTarget(address)));
	}

	Node node(String vm) {
		return this.nodes.get(vm);
	}

	List<Node> nodes() {
		return List.copyOf(this.nodes.values());
	}

	List<Node> nodesOf(String dataCentre) {
		return nodes().stream().filter((node) -> node.dataCentre.value().equals(dataCentre)).toList();
	}

	ManualClock clock() {
		return this.clock;
	}

	/**
	 * Sets which datagrams arrive.
	 * @param filter accepts sender and receiver
	 */
	void setLink(BiPredicate<Node, Node> filter) {
		this.link = filter;
	}

	void disturb(double lossRatio, int delayMillis) {
		this.loss = lossRatio;
		this.maxDelayMillis = Math.max(2, delayMillis);
	}

	/** Ends a daemon. */
	void stop(String vm) {
		Node node = this.nodes.remove(vm);
		this.byAddress.remove(node.address);
	}

	/** Replaces a daemon by a later start with the same name and address. */
	Node restart(String vm) {
		Node old = this.nodes.get(vm);
		Node node = new Node(vm, old.dataCentre, old.address, old.capacity, old.incarnation + 1);
		this.nodes.put(vm, node);
		this.byAddress.put(old.address, node);
		this.byAddress.keySet().forEach((address) -> node.protocol.directory().addTarget(address));
		return node;
	}

	void run(long millis) {
		run(millis, () -> {
		});
	}

	void run(long millis, Runnable eachStep) {
		for (long i = 0; i < millis; i += STEP_MILLIS) {
			this.clock.advance(Duration.ofMillis(STEP_MILLIS));
			long now = this.clock.millis();
			while (!this.deliveries.isEmpty() && this.deliveries.peek().at <= now) {
				Delivery delivery = this.deliveries.poll();
				Node receiver = this.byAddress.get(delivery.target);
				if (receiver != null) {
					receiver.received.merge(receiver.protocol.receive(delivery.bytes), 1, Integer::sum);
				}
			}
			for (Node node : nodes()) {
				if (Math.floorMod(now, StateExchange.SEND_PERIOD_MILLIS) == node.phase) {
					deliver(node, node.protocol.sendPeriodic());
				}
				OptionalLong urgentAt = node.protocol.urgentAt();
				if (urgentAt.isPresent() && urgentAt.getAsLong() <= now) {
					deliver(node, node.protocol.sendUrgent());
				}
			}
			if (i % CHECK_MILLIS == 0) {
				eachStep.run();
			}
		}
	}

	void sendNow(Node node) {
		deliver(node, node.protocol.sendNow(false));
	}

	private void deliver(Node from, List<OutgoingMessage> messages) {
		for (OutgoingMessage message : messages) {
			for (Address target : message.targets()) {
				from.sent.merge(message.kind(), 1, Integer::sum);
				from.sentBytes += message.bytes().length;
				Node to = this.byAddress.get(target);
				if (to != null && this.link.test(from, to) && this.random.nextDouble() >= this.loss) {
					long at = this.clock.millis() + 1 + this.random.nextInt(this.maxDelayMillis);
					this.deliveries.add(new Delivery(at, this.deliveryCount++, target, message.bytes()));
				}
			}
		}
	}

	void resetCounts() {
		nodes().forEach((node) -> {
			node.sent.clear();
			node.received.clear();
			node.sentBytes = 0;
		});
	}

	static RunnerId runner(int number) {
		return new RunnerId("r" + number);
	}

	/**
	 * Returns the load of a runner by the requests of some daemons.
	 * @param daemons the daemons
	 * @param runner the runner
	 * @return sum of what the daemons count themselves
	 */
	static RunnerLoad truth(List<Node> daemons, RunnerId runner) {
		return daemons.stream()
			.map((node) -> node.loadTracker.ownLoads().getOrDefault(runner, RunnerLoad.NONE))
			.reduce(RunnerLoad.NONE, RunnerLoad::plus);
	}

	/** Daemon of the fleet. */
	final class Node {

		final String vm;

		final DataCentreId dataCentre;

		final Address address;

		final double capacity;

		final long incarnation;

		final LoadTracker loadTracker = new LoadTracker(SimulatedFleet.this.clock);

		final RunnerAvailability availability = new RunnerAvailability(SimulatedFleet.this.clock);

		final Map<MessageKind, Integer> sent = new EnumMap<>(MessageKind.class);

		final Map<MessageKind, Integer> received = new EnumMap<>(MessageKind.class);

		final List<LoadTracker.PathSegment> requests = new ArrayList<>();

		final List<Long> newerConfigurations = new ArrayList<>();

		final List<StoreVersion> newerRunnerLists = new ArrayList<>();

		final StateProtocol protocol;

		final long phase;

		long sentBytes;

		boolean serving = true;

		boolean leaving;

		long configuration = 1;

		StoreVersion runnerList = new StoreVersion(0, 1);

		private Node(String vm, DataCentreId dataCentre, Address address, double capacity, long incarnation) {
			this.vm = vm;
			this.dataCentre = dataCentre;
			this.address = address;
			this.capacity = capacity;
			this.incarnation = incarnation;
			this.phase = SimulatedFleet.this.random.nextInt((int) (StateExchange.SEND_PERIOD_MILLIS / STEP_MILLIS))
					* STEP_MILLIS;
			this.protocol = new StateProtocol(
					new StateExchange.LocalState(vm, dataCentre, address, address, capacity, () -> this.serving,
							() -> this.leaving, () -> true, () -> this.configuration, () -> this.runnerList),
					new SharedKnowledge(this.loadTracker, this.availability,
							new PartQuarantine(SimulatedFleet.this.clock)),
					SimulatedFleet.this.clock, incarnation);
			this.protocol.onNewerConfiguration(this.newerConfigurations::add);
			this.protocol.onNewerRunnerList(this.newerRunnerLists::add);
		}

		void addRequest(int runner) {
			LoadTracker.PathSegment segment = new LoadTracker.PathSegment(runner(runner), 2);
			this.requests.add(segment);
			this.loadTracker.add(List.of(segment), new RequestSize(10, 5));
		}

		void endRequest() {
			if (!this.requests.isEmpty()) {
				this.loadTracker.remove(List.of(this.requests.remove(0)), new RequestSize(10, 5), false);
			}
		}

		RunnerLoad load(int runner) {
			return this.loadTracker.of(runner(runner));
		}

		int sent(MessageKind kind) {
			return this.sent.getOrDefault(kind, 0);
		}

		int received(MessageKind kind) {
			return this.received.getOrDefault(kind, 0);
		}

		int sentDatagrams() {
			return this.sent.values().stream().mapToInt(Integer::intValue).sum();
		}

		Set<String> present() {
			return Set.copyOf(this.protocol.directory().presentPeers().stream().map(PeerState::vm).toList());
		}

		boolean isDelegate() {
			return this.protocol.delegates().isDelegate();
		}

		boolean sees(Node other) {
			return present().contains(other.vm);
		}

		@Override
		public String toString() {
			return this.vm + "@" + this.dataCentre.value();
		}

	}

	private record Delivery(long at, long number, Address target, byte[] bytes) {

	}

}
