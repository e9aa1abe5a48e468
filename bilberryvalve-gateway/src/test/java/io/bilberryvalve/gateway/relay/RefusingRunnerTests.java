package io.bilberryvalve.gateway.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.ProgressTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.fleet.RunnerPauses;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.placement.CardKind;
import io.bilberryvalve.policy.placement.EngineProfile;
import net.jqwik.api.Example;
import org.jspecify.annotations.Nullable;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Replays requests on a paused clock while one runner refuses everything.
 */
class RefusingRunnerTests {

	private static final DataCentreId HERE = new DataCentreId("a");

	private static final RunnerId REFUSING = new RunnerId("fast");

	private static final RequestSize SIZE = new RequestSize(500, 100);

	private static final EngineProfile ENGINE = new EngineProfile(100, 8, 1000, 100_000, 1, 0.01, 0.01, 200, 2, 500,
			100, 0, 0, 10,
			Map.of("quick", new CardKind("quick", 12000, 1, 1), "slow", new CardKind("slow", 12000, 4, 4)), Map.of());

	private static final long ARRIVAL_INTERVAL_MILLIS = 20;

	private static final long REFUSAL_MILLIS = 2000;

	/** Most attempts of a request at runners. */
	private static final int MAX_ATTEMPTS = 2;

	private final ManualClock clock = new ManualClock();

	private final FleetRegistry fleetRegistry = new FleetRegistry(this.clock);

	private final LoadTracker loadTracker = new LoadTracker(this.clock);

	private final RunnerAvailability availability = new RunnerAvailability(this.clock);

	private final RunnerPauses pauses = new RunnerPauses(this.clock);

	private static ListedRunner runner(String name, int slots, @Nullable String card, @Nullable LayerRange layers) {
		return new ListedRunner(new RunnerId(name), new Address("10.0.0.1", 1000 + Math.abs(name.hashCode() % 1000)),
				"s", HERE, slots, false, card, layers, 1, 0);
	}

	private void list(ListedRunner... runners) {
		Map<RunnerId, ListedRunner> listed = new HashMap<>();
		for (ListedRunner runner : runners) {
			listed.put(runner.id(), runner);
		}
		this.fleetRegistry.replace(listed);
	}

	private CapacityAllocator engines() {
		return new PathAllocator("s", ENGINE, this.fleetRegistry, this.loadTracker, this.availability, this.pauses,
				new ProgressTracker(this.clock));
	}

	private CapacityAllocator applications() {
		return new RunnerAllocator("s", HERE, this.fleetRegistry, this.loadTracker, this.availability, this.pauses);
	}

	/**
	 * Sends requests while one runner refuses all of them.
	 * @param allocator chooses the runners
	 * @param records whether refusals are recorded, as opposed to the choice without
	 * memory of them
	 * @return fraction of the attempts that were refused
	 */
	private double refusedShare(CapacityAllocator allocator, boolean records) {
		int attempts = 0;
		int refused = 0;
		for (long passed = 0; passed < REFUSAL_MILLIS; passed += ARRIVAL_INTERVAL_MILLIS) {
			Set<RunnerId> excluded = Set.of();
			for (int i = 0; i < MAX_ATTEMPTS; i++) {
				Reservation reservation = allocator.reserve(SIZE, excluded).orElseThrow();
				attempts++;
				this.loadTracker.remove(reservation.resources(), SIZE, true);
				if (!reservation.runnerIds().contains(REFUSING)) {
					break;
				}
				refused++;
				excluded = Set.of(REFUSING);
				if (records) {
					this.availability.refusals().record(REFUSING, 503);
				}
			}
			this.clock.advance(Duration.ofMillis(ARRIVAL_INTERVAL_MILLIS));
		}
		return (double) refused / attempts;
	}

	// Guards against requests that are sent to a runner some milliseconds after it
	// refused
	// another one. At most one request in 250 ms finds out that it still refuses.
	private void assertAvoided(Function<RefusingRunnerTests, CapacityAllocator> allocators) {
		double before = refusedShare(allocators.apply(this), false);
		double after = refusedShare(allocators.apply(this), true);
		System.getLogger(RefusingRunnerTests.class.getName())
			.log(System.Logger.Level.INFO, "refused attempts: {0} without and {1} with memory of refusals", before,
					after);
		assertThat(before).isGreaterThanOrEqualTo(0.4);
		assertThat(after).isLessThanOrEqualTo(ARRIVAL_INTERVAL_MILLIS / 250.0);
		this.clock.advance(Duration.ofMillis(250));
		assertThat(allocators.apply(this).reserve(SIZE, Set.of()).orElseThrow().runnerIds()).contains(REFUSING);
	}

	@Example
	void engineThatRefusesIsAvoided() {
		list(runner("fast", 100, "quick", new LayerRange(0, 8)), runner("other", 100, "slow", new LayerRange(0, 8)));
		assertAvoided(RefusingRunnerTests::engines);
	}

	@Example
	void applicationRunnerThatRefusesIsAvoided() {
		ListedRunner remote = new ListedRunner(new RunnerId("remote"), new Address("10.0.0.2", 1001), "s",
				new DataCentreId("b"), 10, false, null, null, 1, 0);
		list(runner("fast", 10, null, null), remote);
		assertAvoided(RefusingRunnerTests::applications);
	}

	// Guards against a model or an operation without any runner because the only one
	// refused a request.
	@Example
	void onlyRunnerIsUsedAfterARefusal() {
		list(runner("fast", 100, "quick", new LayerRange(0, 8)), runner("half", 100, "slow", new LayerRange(0, 4)));
		this.availability.refusals().record(REFUSING, 503);
		assertThat(engines().reserve(SIZE, Set.of())).isPresent();
		assertThat(engines().reserve(SIZE, Set.of(REFUSING))).isPresent();
		list(runner("fast", 10, null, null));
		assertThat(applications().reserve(SIZE, Set.of())).isPresent();
	}

	// Guards against a runner that is tried again at once because the others are full.
	@Example
	void requestWaitsForOtherRunnersThatAreFull() {
		list(runner("fast", 100, "quick", new LayerRange(0, 8)), runner("other", 1, "slow", new LayerRange(0, 8)));
		RequestSize most = new RequestSize(ENGINE.tokenCapacity(ENGINE.cards().get("slow"), 8), 0);
		this.availability.refusals().record(REFUSING, 503);
		assertThat(engines().reserve(most, Set.of()).orElseThrow().runnerIds()).containsExactly(new RunnerId("other"));
		assertThat(engines().reserve(SIZE, Set.of())).isEmpty();
		this.clock.advance(Duration.ofMillis(250));
		assertThat(engines().reserve(SIZE, Set.of()).orElseThrow().runnerIds()).isEqualTo(List.of(REFUSING));
	}

}
