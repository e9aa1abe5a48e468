package io.bilberryvalve.gateway.layers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.stream.IntStream;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.route.CallerLimits;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.RowOperation;
import io.bilberryvalve.platform.lease.LeaseManager;
import io.bilberryvalve.platform.memory.InMemoryTableService;
import io.bilberryvalve.policy.lease.LeaseCandidate;
import io.bilberryvalve.policy.lease.LeaseTimes;
import io.bilberryvalve.policy.placement.CardKind;
import io.bilberryvalve.policy.placement.EngineProfile;
import net.jqwik.api.Example;
import org.jspecify.annotations.Nullable;

import static org.assertj.core.api.Assertions.assertThat;

class LayerReconcilerTests {

	private static final int LAYERS = 20;

	private static final DataCentreId HERE = new DataCentreId("a");

	private static final EngineProfile PROFILE = new EngineProfile(100, LAYERS, 1000, 100_000, 1, 0.01, 0.01, 200, 2,
			500, 100, 0, 0, 10, Map.of("card", new CardKind("card", 8000, 2, 2)), Map.of());

	private static final LeaseTimes TIMES = new LeaseTimes(Duration.ofSeconds(4), Duration.ofMillis(500),
			Duration.ofSeconds(1), Duration.ofSeconds(1));

	private final ManualClock clock = new ManualClock();

	private final FleetRegistry registry = new FleetRegistry(this.clock);

	private final InMemoryTableService tables = new InMemoryTableService();

	private final SimulatedRunners runners = new SimulatedRunners(this.registry);

	private final Set<RunnerId> lost = new HashSet<>();

	private Executor searcher = Runnable::run;

	private final Map<String, LayerReconciler> reconcilers = new HashMap<>();

	private LayerReconciler reconciler(String name) {
		return this.reconcilers.computeIfAbsent(name, (vm) -> {
			LeaseCandidate holder = new LeaseCandidate(vm, TIMES, this.clock, new Random(1));
			return new LayerReconciler(this.registry, this.runners, this.tables,
					new LeaseManager("layers", holder, this.tables), this.clock, Duration.ofMillis(400),
					(runner) -> this.lost.contains(runner.id()), (search) -> this.searcher.execute(search));
		});
	}

	private static RouteTable table() {
		return new RouteTable(1, List.of(), List.of(new Service("model", PROFILE)), List.of(),
				new CallerLimits(1000, 1000, Duration.ofSeconds(1), Duration.ofSeconds(1)));
	}

	private static List<ListedRunner> cards(int count) {
		List<ListedRunner> cards = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			cards.add(new ListedRunner(new RunnerId("r" + i), new Address("10.0.0.1", 1000 + i), "model", HERE, 100,
					false, "card", null, 1, 0));
		}
		return cards;
	}

	private void run(String vm, Duration time) {
		for (long passed = 0; passed < time.toMillis(); passed += 250) {
			this.clock.advance(Duration.ofMillis(250));
			reconciler(vm).reconcile(table(), true, false);
		}
	}

	private boolean complete() {
		boolean[] held = new boolean[LAYERS];
		for (ListedRunner runner : this.registry.snapshot().ofService("model")) {
			LayerRange layers = runner.layers();
			for (int i = (layers != null) ? layers.first() : 0; layers != null && i < layers.end(); i++) {
				held[i] = true;
			}
		}
		for (boolean layer : held) {
			if (!layer) {
				return false;
			}
		}
		return true;
	}

	@Example
	void emptyRunnersGetTheWholeModel() {
		this.runners.list(cards(6));
		run("one", Duration.ofSeconds(6));
		assertThat(complete()).isTrue();
		int orders = this.runners.orders();
		run("one", Duration.ofSeconds(30));
		assertThat(this.runners.orders()).isEqualTo(orders);
	}

	// Guards against orders that are repeated without a query: an order without an answer
	// may take effect late and must not undo newer ones.
	@Example
	void stateIsQueriedBeforeAnOrderWithoutAnswerIsRepeated() {
		this.runners.list(cards(6));
		this.runners.delayOrders(true);
		run("one", Duration.ofSeconds(4));
		this.runners.delayOrders(false);
		this.runners.carryOutLateOrders();
		run("one", Duration.ofSeconds(12));
		assertThat(complete()).isTrue();
		this.runners.carryOutLateOrders();
		assertThat(complete()).isTrue();
	}

	// Guards against a lease that expires while its holder searches a template for many
	// cards.
	@Example
	void leaseIsRenewedDuringALongSearch() {
		List<Runnable> searches = new ArrayList<>();
		this.searcher = searches::add;
		this.runners.list(cards(6));
		run("one", Duration.ofSeconds(30));
		assertThat(searches).hasSize(1);
		run("two", Duration.ofMillis(250));
		searches.forEach(Runnable::run);
		run("one", Duration.ofSeconds(6));
		assertThat(complete()).isTrue();
	}

	// Guards against a model that stays incomplete after the daemon that sent the orders
	// has stopped.
	@Example
	void anotherDaemonContinuesAfterTheLeaseHolderHasStopped() {
		this.runners.list(cards(6));
		run("one", Duration.ofSeconds(6));
		List<ListedRunner> replaced = new ArrayList<>(this.registry.snapshot().ofService("model"));
		int before = replaced.size();
		replaced.removeIf(LayerReconcilerTests::holdsFirstLayer);
		for (int i = replaced.size(); i < before; i++) {
			replaced.add(new ListedRunner(new RunnerId("new" + i), new Address("10.0.0.1", 2000 + i), "model", HERE,
					100, false, "card", null, 1, 0));
		}
		this.runners.list(replaced);
		assertThat(complete()).isFalse();
		run("two", Duration.ofSeconds(15));
		assertThat(complete()).isTrue();
	}

	private static boolean holdsFirstLayer(ListedRunner runner) {
		LayerRange layers = runner.layers();
		return layers != null && layers.first() == 0;
	}

	// A dead card stays in the list for some heartbeats. Guards against a gap that stays
	// as long although there is a spare card.
	@Example
	void spareCardReplacesALostOneBeforeTheListDropsIt() {
		this.runners.list(cards(5));
		run("one", Duration.ofSeconds(10));
		ListedRunner only = onlyHolder();
		this.lost.add(only.id());
		assertThat(completeWithout(only)).isFalse();
		run("one", Duration.ofSeconds(2));
		assertThat(completeWithout(only)).isTrue();
		assertThat(this.registry.snapshot().find(only.id())).isPresent();
	}

	// Guards against requests that are refused by a card that moves: it drops its layers
	// seconds before the list shows that.
	@Example
	void cardThatMovesIsReportedUntilTheListShowsIt() {
		this.runners.list(cards(5));
		run("one", Duration.ofSeconds(10));
		assertThat(reconciler("one").reconcile(table(), true, false)).isEmpty();
		this.lost.add(onlyHolder().id());
		this.runners.delayOrders(true);
		run("one", Duration.ofMillis(500));
		assertThat(reconciler("one").reconcile(table(), true, false)).hasSize(1);
		this.runners.delayOrders(false);
		this.runners.carryOutLateOrders();
		assertThat(reconciler("one").reconcile(table(), true, false)).isEmpty();
	}

	private ListedRunner onlyHolder() {
		return this.registry.snapshot()
			.ofService("model")
			.stream()
			.filter((runner) -> runner.layers() != null && !completeWithout(runner))
			.findFirst()
			.orElseThrow();
	}

	private boolean completeWithout(ListedRunner without) {
		List<LayerRange> ranges = this.registry.snapshot()
			.ofService("model")
			.stream()
			.filter((runner) -> !runner.equals(without))
			.map(ListedRunner::layers)
			.filter(Objects::nonNull)
			.toList();
		return IntStream.range(0, LAYERS)
			.allMatch((layer) -> ranges.stream().anyMatch((range) -> range.first() <= layer && layer < range.end()));
	}

	// Guards against a template that was computed from only the first few runners in the
	// list.
	@Example
	void templateIsComputedAgainWhenTheFleetHasOutgrownIt() {
		this.runners.list(cards(4));
		run("one", Duration.ofSeconds(5));
		this.runners.list(cards(8));
		run("one", Duration.ofSeconds(10));
		assertThat(this.tables.row("layer-templates", "model").value()).startsWith("cards=8,");
	}

	// Guards against hundreds of orders per second to a runner that is leaving and
	// refuses all of them, and against a model that stays incomplete because of it.
	@Example
	void runnerThatRefusesGetsNoOrdersForAWhile() {
		this.runners.list(cards(7));
		this.runners.refuse(new RunnerId("r0"));
		run("one", Duration.ofSeconds(10));
		assertThat(complete()).isTrue();
		assertThat(this.runners.orders()).isLessThan(30);
	}

	// Guards against a placement that ends because an entry of another writer names no
	// kind of card.
	@Example
	void runnerWithoutKindGetsNoLayers() {
		this.runners.list(withOdd(null, null));
		run("one", Duration.ofSeconds(10));
		assertThat(completeWithout(odd())).isTrue();
		assertThat(odd().layers()).isNull();
	}

	// Guards against a gap that stays because an entry of another writer claims to hold
	// its layers.
	@Example
	void runnerWithLayersBeyondTheModelDoesNotCount() {
		for (int first : new int[] { 0, LAYERS / 2, LAYERS - 1, LAYERS, Integer.MAX_VALUE - 1 }) {
			this.reconcilers.clear();
			this.lost.clear();
			this.runners.list(List.of());
			this.runners.list(withOdd("card", new LayerRange(first, Integer.MAX_VALUE)));
			run("vm" + first, Duration.ofSeconds(20));
			this.lost.add(new RunnerId("r0"));
			run("vm" + first, Duration.ofSeconds(5));
			this.runners.list(this.registry.snapshot()
				.all()
				.stream()
				.filter((runner) -> !runner.id().equals(new RunnerId("r0")))
				.toList());
			run("vm" + first, Duration.ofSeconds(20));
			assertThat(completeWithout(odd())).as("from layer %d", first).isTrue();
		}
	}

	private ListedRunner odd() {
		return this.registry.snapshot().find(new RunnerId("odd")).orElseThrow();
	}

	private static List<ListedRunner> withOdd(@Nullable String kind, @Nullable LayerRange layers) {
		List<ListedRunner> all = cards(6);
		all.add(new ListedRunner(new RunnerId("odd"), new Address("10.0.0.2", 1), "model", HERE, 100, false, kind,
				layers, 1, 0));
		return all;
	}

	// Guards against a model that is never loaded because of an odd row in the store.
	@Example
	void unreadableTemplateIsComputedAgain() {
		List<String> odd = List.of("", "cards=6", "cards=6,card:", "cards=6,card:x", "cards=6,card:-1",
				"cards=6,card:2147483647", "cards=6,card:99999999999", "cards=x,card:4", "cards=99999999999,card:4",
				"cards=6,other:4", "{\"cards\":6}", ":::,=,\u0000");
		for (int i = 0; i < odd.size(); i++) {
			this.tables.commit(List.of(new RowOperation.Put("layer-templates", "model", null, odd.get(i))));
			this.reconcilers.clear();
			this.runners.list(List.of());
			this.runners.list(cards(6));
			run("vm" + i, Duration.ofSeconds(20));
			assertThat(complete()).as(odd.get(i)).isTrue();
		}
	}

	// Guards against a lease that no daemon acquires any more because of an odd row in
	// the store, and against fencing numbers that runners have seen before.
	@Example
	void unreadableLeaseIsTakenOver() {
		List<String> odd = List.of("", "{", "[]", "7", "{}", "{\"holder\":7,\"fencing\":1}",
				"{\"holder\":\"x\",\"fencing\":0}", "{\"holder\":\"x\",\"fencing\":-1}",
				"{\"holder\":\"x\",\"fencing\":1e30}", "{\"holder\":\"x\",\"fencing\":9223372036854775807}",
				"{\"holder\":\"x\",\"fencing\":\"2\"}", "[".repeat(20_000));
		for (int i = 0; i < odd.size(); i++) {
			this.runners.list(cards(5));
			run("vm" + i, Duration.ofSeconds(10));
			assertThat(complete()).isTrue();
			this.tables.commit(List.of(new RowOperation.Put("leases", "layers", null, odd.get(i))));
			this.runners.list(cards(6));
			run("vm" + i, Duration.ofSeconds(10));
			assertThat(this.registry.snapshot().find(new RunnerId("r5")).orElseThrow().layers()).as(odd.get(i))
				.isNotNull();
			this.runners.list(cards(5));
		}
	}

	// Guards against orders without the lease while the store is unreachable.
	@Example
	void withoutLeaseNothingIsOrdered() {
		this.runners.list(cards(6));
		reconciler("one").reconcile(table(), false, false);
		run("two", Duration.ofSeconds(3));
		int orders = this.runners.orders();
		for (int i = 0; i < 20; i++) {
			reconciler("one").reconcile(table(), true, false);
		}
		assertThat(this.runners.orders()).isEqualTo(orders);
	}

	// Guards against daemons that use different templates because the store has lost the
	// one in use, or has an earlier one for fewer cards.
	@Example
	void templateLostInARestoreIsWrittenAgain() {
		InMemoryTableService.Copy empty = this.tables.copy();
		this.runners.list(cards(6));
		run("one", Duration.ofSeconds(6));
		String template = this.tables.row("layer-templates", "model").value();
		this.tables.restore(empty);
		run("one", Duration.ofSeconds(3));
		assertThat(this.tables.row("layer-templates", "model").value()).isEqualTo(template);
		this.tables.restore(empty);
		this.tables.commit(List.of(new RowOperation.Put("layer-templates", "model", null, "cards=1,card:2")));
		run("one", Duration.ofSeconds(3));
		assertThat(this.tables.row("layer-templates", "model").value()).isEqualTo(template);
		assertThat(complete()).isTrue();
	}

}
