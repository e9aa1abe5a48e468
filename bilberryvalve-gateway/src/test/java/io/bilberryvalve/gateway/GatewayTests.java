package io.bilberryvalve.gateway;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.http.HeaderNames;
import io.bilberryvalve.gateway.http.Transport;
import io.bilberryvalve.gateway.layers.LayerOrders;
import io.bilberryvalve.gateway.relay.StallProbe;
import io.bilberryvalve.gateway.route.CallerLimits;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.MonotonicClock;
import io.bilberryvalve.platform.CommitResult;
import io.bilberryvalve.platform.ReadResult;
import io.bilberryvalve.platform.Row;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.TableService;
import io.bilberryvalve.platform.memory.InMemoryTableService;
import io.bilberryvalve.platform.watch.StoreEra;
import io.bilberryvalve.policy.placement.CardKind;
import io.bilberryvalve.policy.placement.EngineProfile;
import net.jqwik.api.Example;
import org.jspecify.annotations.Nullable;

import static org.assertj.core.api.Assertions.assertThat;

class GatewayTests {

	private static final int LIMIT_MILLIS = 10_000;

	private static final HeaderNames HEADER_NAMES = new HeaderNames("a", "b", "c", "d", "e", "f", "g", "h", "i", "j",
			"k", "l", "m", "n", "o");

	private static final EngineProfile PROFILE = new EngineProfile(100, 20, 1000, 100_000, 1, 0.01, 0.01, 200, 2, 500,
			100, 0, 0, 10, Map.of("card", new CardKind("card", 8000, 2, 2)), Map.of());

	private final InMemoryTableService tables = new InMemoryTableService();

	private Gateway gateway(Transport transport, LayerOrders orders) throws IOException {
		return gateway(transport, orders, this.tables);
	}

	private static Gateway gateway(Transport transport, LayerOrders orders, TableService tables) throws IOException {
		GatewaySettings settings = new GatewaySettings("vm", new DataCentreId("a"), freeAddress(), freeAddress(), 1,
				0.1, 10, Duration.ofSeconds(10), Duration.ofMillis(100), 1);
		StallProbe probe = (first) -> CompletableFuture.completedFuture(new StallProbe.ProbeResult(false, List.of()));
		return new Gateway(settings, HEADER_NAMES, transport, tables, new StoreEra(), probe, orders,
				new MonotonicClock(), 1);
	}

	private static Address freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return new Address("127.0.0.1", socket.getLocalPort());
		}
	}

	private static Map<RunnerId, ListedRunner> cards(int count) {
		Map<RunnerId, ListedRunner> cards = new HashMap<>();
		for (int i = 0; i < count; i++) {
			RunnerId id = new RunnerId("r" + i);
			cards.put(id, new ListedRunner(id, new Address("127.0.0.1", 1000 + i), "model", new DataCentreId("a"), 100,
					false, "card", null, 1, 0));
		}
		return cards;
	}

	// Guards against a placement of layers that ends for good with one failure.
	@Example
	void placementContinuesAfterAFailure() throws Exception {
		FailingOrders orders = new FailingOrders();
		try (Transport transport = new Transport(1)) {
			Gateway gateway = gateway(transport, orders);
			gateway.fleetRegistry().replace(cards(6));
			gateway.configure(new RouteTable(1, List.of(), List.of(new Service("model", PROFILE)), List.of(),
					new CallerLimits(1000, 1000, Duration.ofSeconds(1), Duration.ofSeconds(1))));
			gateway.start();
			assertThat(orders.received.await(LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
		}
	}

	// Guards against gateways that never hear of each other because of one odd row.
	@Example
	void gatewaysAreFoundBesideUnreadableRows() throws Exception {
		try (DatagramSocket peer = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
				Transport transport = new Transport(1)) {
			peer.setSoTimeout(LIMIT_MILLIS);
			List<String> odd = List.of("", "nowhere", "10.0.0.1:65536", "10.0.0.1:99999999999", "gateway.example:7000");
			for (int i = 0; i < odd.size(); i++) {
				put("odd-" + i, odd.get(i));
			}
			put("peer", "127.0.0.1:" + peer.getLocalPort());
			Gateway gateway = gateway(transport, new FailingOrders());
			gateway.start();
			peer.receive(new DatagramPacket(new byte[4096], 4096));
			assertThat(gateway.daemonCount()).isEqualTo(2);
		}
	}

	private void put(String key, String value) {
		this.tables.commit(List.of(new RowOperation.Put("gateways", key, null, value)));
	}

	// Guards against a gateway that the others never find because its first attempt to
	// register failed.
	@Example
	void registrationIsRepeatedAfterAFailure() throws Exception {
		FailingCommits failing = new FailingCommits();
		try (Transport transport = new Transport(1)) {
			gateway(transport, new FailingOrders(), failing).start();
			assertThat(failing.commits.await(LIMIT_MILLIS, TimeUnit.MILLISECONDS)).isTrue();
		}
	}

	/** Store in which the stage of each commit fails. */
	private static final class FailingCommits implements TableService {

		private final CountDownLatch commits = new CountDownLatch(2);

		@Override
		public CompletionStage<ReadResult<Row>> read(String table, String key) {
			return CompletableFuture.completedFuture(new ReadResult.Missing<>());
		}

		@Override
		public CompletionStage<ReadResult<List<Row>>> list(String table, String prefix, int limit) {
			return CompletableFuture.completedFuture(new ReadResult.Found<>(List.of()));
		}

		@Override
		public CompletionStage<CommitResult> commit(List<RowOperation> operations) {
			this.commits.countDown();
			return CompletableFuture.failedFuture(new IllegalStateException("the answer cannot be decoded"));
		}

	}

	/** Fails on each order. */
	private static final class FailingOrders implements LayerOrders {

		private final CountDownLatch received = new CountDownLatch(3);

		@Override
		public CompletionStage<Answer> sendOrder(ListedRunner runner, LayerRange range, long fencing, long accepted) {
			this.received.countDown();
			throw new IllegalStateException("the order cannot be sent");
		}

		@Override
		public CompletionStage<@Nullable EngineState> fetchState(ListedRunner runner) {
			return CompletableFuture.completedFuture(null);
		}

	}

}
