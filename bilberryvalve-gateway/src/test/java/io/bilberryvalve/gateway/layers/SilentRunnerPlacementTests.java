package io.bilberryvalve.gateway.layers;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.route.CallerLimits;
import io.bilberryvalve.gateway.route.RouteTable;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.platform.lease.LeaseManager;
import io.bilberryvalve.platform.memory.InMemoryTableService;
import io.bilberryvalve.policy.lease.LeaseCandidate;
import io.bilberryvalve.policy.lease.LeaseTimes;
import io.bilberryvalve.policy.placement.CardKind;
import io.bilberryvalve.policy.placement.EngineProfile;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the layers of a runner that was found lost because it was silent for a second,
 * and goes on.
 */
class SilentRunnerPlacementTests {

	private static final EngineProfile PROFILE = new EngineProfile(100, 4, 1000, 100_000, 1, 0.01, 0.01, 200, 2, 500,
			100, 0, 0, 10, Map.of("card", new CardKind("card", 8000, 2, 2)), Map.of());

	private static final LeaseTimes TIMES = new LeaseTimes(Duration.ofSeconds(4), Duration.ofMillis(500),
			Duration.ofSeconds(1), Duration.ofSeconds(1));

	private static final RouteTable TABLE = new RouteTable(1, List.of(), List.of(new Service("model", PROFILE)),
			List.of(), new CallerLimits(1000, 1000, Duration.ofSeconds(1), Duration.ofSeconds(1)));

	private final ManualClock clock = new ManualClock();

	private final FleetRegistry registry = new FleetRegistry(this.clock);

	private final InMemoryTableService tables = new InMemoryTableService();

	private final SimulatedRunners runners = new SimulatedRunners(this.registry);

	private final RunnerAvailability availability = new RunnerAvailability(this.clock);

	private final LayerReconciler reconciler = new LayerReconciler(this.registry, this.runners, this.tables,
			new LeaseManager("layers", new LeaseCandidate("one", TIMES, this.clock, new Random(1)), this.tables),
			this.clock, Duration.ofMillis(400), this.availability::isLost, Runnable::run);

	private final Set<RunnerId> changing = new HashSet<>();

	@Example
	void runnerThatWasSilentKeepsItsLayers() {
		list(4);
		run(Duration.ofSeconds(10));
		assertThat(holders()).isNotEmpty();
		for (ListedRunner silent : holders()) {
			this.availability.markLost(silent, "silent");
			run(Duration.ofSeconds(1));
			this.availability.recordSuccess(silent.id());
			run(Duration.ofSeconds(5));
			assertThat(this.registry.snapshot().find(silent.id()).map(ListedRunner::layers)).contains(silent.layers());
			assertThat(this.changing).doesNotContain(silent.id());
		}
	}

	@Example
	void runnerWhoseEntryIsMissingForASecondCausesNoOrders() {
		list(4);
		run(Duration.ofSeconds(10));
		int orders = this.runners.orders();
		ListedRunner silent = holders().get(0);
		this.registry.update(Collections.singletonMap(silent.id(), null));
		run(Duration.ofSeconds(1));
		this.registry.update(Map.of(silent.id(), silent));
		run(Duration.ofSeconds(5));
		assertThat(this.runners.orders()).isEqualTo(orders);
	}

	private void list(int count) {
		List<ListedRunner> cards = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			cards.add(new ListedRunner(new RunnerId("r" + i), new Address("10.0.0.1", 1000 + i), "model",
					new DataCentreId("a"), 100, false, "card", null, 1, 0));
		}
		this.runners.list(cards);
	}

	private List<ListedRunner> holders() {
		return this.registry.snapshot().ofService("model").stream().filter((runner) -> {
			LayerRange layers = runner.layers();
			return layers != null;
		}).toList();
	}

	private void run(Duration time) {
		for (long passed = 0; passed < time.toMillis(); passed += 250) {
			this.clock.advance(Duration.ofMillis(250));
			this.changing.addAll(this.reconciler.reconcile(TABLE, true, false));
		}
	}

}
