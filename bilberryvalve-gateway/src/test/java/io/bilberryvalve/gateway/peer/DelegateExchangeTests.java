package io.bilberryvalve.gateway.peer;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.MonotonicClock;
import io.bilberryvalve.platform.watch.StoreVersion;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.quarantine.PartQuarantine;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Exchanges that send datagrams to each other. The rules are tested without network in
 * {@link StateProtocolTests}.
 */
class DelegateExchangeTests {

	private static final int DAEMONS = 14;

	private static final long LIMIT_NANOS = 20_000_000_000L;

	private static final long PAUSE_NANOS = 5_000_000;

	private static final RunnerId RUNNER = new RunnerId("r");

	private final List<Daemon> daemons = new ArrayList<>();

	private void start() throws IOException {
		for (int i = 0; i < DAEMONS; i++) {
			this.daemons.add(new Daemon(i, freeAddress()));
		}
		for (Daemon daemon : this.daemons) {
			daemon.exchange.start();
			this.daemons.forEach((other) -> daemon.exchange.addTarget(other.address));
		}
		until("all daemons count the load of all", this::allKnowAll);
	}

	private boolean allKnowAll() {
		return this.daemons.stream()
			.allMatch((daemon) -> daemon.exchange.presentPeers().size() == this.daemons.size() - 1
					&& daemon.loadTracker.of(RUNNER).running() == this.daemons.size());
	}

	private List<Daemon> delegates(String dataCentre) {
		return this.daemons.stream()
			.filter((daemon) -> daemon.dataCentre.equals(dataCentre) && daemon.exchange.delegates().isDelegate())
			.toList();
	}

	private void stop(Daemon daemon) {
		daemon.transport.close();
		this.daemons.remove(daemon);
	}

	private static void until(String condition, BooleanSupplier reached) {
		long end = System.nanoTime() + LIMIT_NANOS;
		while (!reached.getAsBoolean()) {
			assertThat(System.nanoTime()).as(condition).isLessThan(end);
			LockSupport.parkNanos(PAUSE_NANOS);
		}
	}

	private static Address freeAddress() throws IOException {
		try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
			return new Address("127.0.0.1", socket.getLocalPort());
		}
	}

	// Guards against digests that are not sent, or not read, by sockets.
	@Example
	void loadsAndPresenceAreKnownAfterTheLossOfOneDelegateAndOfBoth() throws IOException {
		try {
			start();
			List<Daemon> first = delegates("a");
			assertThat(first).hasSize(2);
			until("digests arrive",
					() -> this.daemons.stream()
						.filter((daemon) -> !daemon.exchange.delegates().isDelegate())
						.allMatch((daemon) -> daemon.counts.getOrDefault("received digest", 0) > 2));
			stop(first.get(0));
			until("the load is known without one delegate", this::allKnowAll);
			until("another daemon is a delegate", () -> delegates("a").size() == 2);
			List.copyOf(delegates("a")).forEach(this::stop);
			until("the load is known without both delegates", this::allKnowAll);
		}
		finally {
			this.daemons.forEach((daemon) -> daemon.transport.close());
		}
	}

	/** Daemon with one request. */
	private static final class Daemon {

		private final MonotonicClock clock = new MonotonicClock();

		private final LoadTracker loadTracker = new LoadTracker(this.clock);

		private final Transport transport = new Transport(1);

		private final Map<String, Integer> counts = new ConcurrentHashMap<>();

		private final String dataCentre;

		private final Address address;

		private final StateExchange exchange;

		private Daemon(int number, Address address) {
			this.dataCentre = (number % 2 == 0) ? "a" : "b";
			this.address = address;
			this.exchange = new StateExchange(this.transport,
					new StateExchange.LocalState("vm" + (char) ('a' + number), new DataCentreId(this.dataCentre),
							address, address, 1, () -> true, () -> false, () -> true, () -> 1, () -> StoreVersion.NONE),
					this.loadTracker, new RunnerAvailability(this.clock), new PartQuarantine(this.clock), this.clock,
					1);
			this.exchange.countMessages(
					(direction, kind, count) -> this.counts.merge(direction + " " + kind, count, Integer::sum));
			this.loadTracker.add(List.of(new LoadTracker.PathSegment(RUNNER, 1)), new RequestSize(10, 5));
		}

	}

}
