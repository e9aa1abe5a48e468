package io.bilberryvalve.gateway.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.ProgressTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.route.RequestKind;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.quarantine.PartQuarantine;
import io.bilberryvalve.policy.retry.RetryBudget;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class StallDetectorTests {

	private static final DataCentreId HERE = new DataCentreId("a");

	private static final Route ROUTE = new Route("r", "h", "/", RequestKind.STREAMING, Duration.ofSeconds(20),
			Duration.ofMillis(500), Duration.ofMillis(200), 1, List.of(new Route.WeightedService("s", 1)), 2, false,
			true);

	private final ManualClock clock = new ManualClock();

	private final RunnerAvailability runnerAvailability = new RunnerAvailability(this.clock);

	private final List<Set<RunnerId>> stalls = new ArrayList<>();

	private final List<Set<RunnerId>> suspected = new ArrayList<>();

	private final EventLoop loop = new DefaultEventLoop();

	private ProgressTracker progressTracker = new ProgressTracker(this.clock);

	private boolean canMove;

	private StallProbe.ProbeResult result = new StallProbe.ProbeResult(true, List.of());

	private int probes;

	private static ListedRunner runner(String name, int port, LayerRange layers) {
		return new ListedRunner(new RunnerId(name), new Address("127.0.0.1", port), "s", HERE, 4, false, "card", layers,
				1, 0);
	}

	private final ListedRunner first = runner("first", 1001, new LayerRange(0, 2));

	private final ListedRunner second = runner("second", 1002, new LayerRange(2, 4));

	private final Reservation reservation = new Reservation(List.of(this.first, this.second),
			new LayerPath(List.of(new LayerPath.Hop(this.first.id(), new LayerRange(0, 2)),
					new LayerPath.Hop(this.second.id(), new LayerRange(2, 4))), 100, 10),
			new RequestSize(10, 10));

	private final StallDetector detector = check();

	private StallDetector check() {
		FleetRegistry fleetRegistry = new FleetRegistry(this.clock);
		Map<RunnerId, ListedRunner> listed = new HashMap<>();
		listed.put(this.first.id(), this.first);
		listed.put(this.second.id(), this.second);
		fleetRegistry.replace(listed);
		RelayContext context = new RelayContext(RelayFixture.HEADER_NAMES, HERE, this.clock, fleetRegistry,
				new LoadTracker(this.clock), this.runnerAvailability, new PartQuarantine(this.clock),
				new RetryBudget(this.clock), (runner) -> {
					this.probes++;
					return CompletableFuture.completedFuture(this.result);
				}, (unused) -> {
					throw new IllegalStateException("nothing is sent");
				});
		this.progressTracker = context.progressTracker();
		StallDetector result = new StallDetector(context, this.loop, new StallDetector.Listener() {

			@Override
			public boolean runnersSuspected(Reservation checked, Set<RunnerId> suspects, long silenceMillis) {
				StallDetectorTests.this.suspected.add(suspects);
				return StallDetectorTests.this.canMove;
			}

			@Override
			public void pathStalled(Reservation checked, Set<RunnerId> blamed, long silenceMillis) {
				StallDetectorTests.this.stalls.add(blamed);
			}

		});
		result.recordProgress();
		return result;
	}

	private void checkAfter(long millis) throws Exception {
		this.clock.advance(Duration.ofMillis(millis));
		this.loop.submit(() -> this.detector.check(ROUTE, this.reservation, true, 0)).get();
		this.loop.submit(() -> {
		}).get();
	}

	// Guards against streams that are aborted at slow engines: the second attempt
	// would have to process the whole prompt again.
	@Example
	void silentPathWithoutStalledRunnerIsKept() throws Exception {
		checkAfter(5000);
		assertThat(this.probes).isEqualTo(1);
		assertThat(this.stalls).isEmpty();
		assertThat(this.runnerAvailability.isUsable(this.first.id())).isTrue();
	}

	@Example
	void runnerThatDoesNotRespondToTheFirstIsTheCause() throws Exception {
		this.result = new StallProbe.ProbeResult(true, List.of(this.second.address()));
		checkAfter(600);
		assertThat(this.stalls).containsExactly(Set.of(this.second.id()));
		assertThat(this.runnerAvailability.isUsable(this.second.id())).isFalse();
		assertThat(this.runnerAvailability.isUsable(this.first.id())).isTrue();
	}

	@Example
	void firstRunnerWithoutReportIsTheCause() throws Exception {
		this.result = new StallProbe.ProbeResult(false, List.of());
		checkAfter(600);
		assertThat(this.stalls).containsExactly(Set.of(this.first.id()));
	}

	// Simulates the loss of a card while no other path has free slots. Guards against
	// a lost runner that is never identified, because its streams cannot move away and
	// the first runner is therefore not probed.
	@Example
	void firstRunnerIsProbedWhenStreamsCannotMove() throws Exception {
		silenceThreeStreams();
		this.result = new StallProbe.ProbeResult(true, List.of(this.second.address()));
		checkAfter(600);
		assertThat(this.suspected).containsExactly(Set.of(this.first.id(), this.second.id()));
		assertThat(this.stalls).containsExactly(Set.of(this.second.id()));
	}

	@Example
	void streamThatHasMovedIsNotProbed() throws Exception {
		silenceThreeStreams();
		this.canMove = true;
		checkAfter(600);
		assertThat(this.suspected).hasSize(1);
		assertThat(this.probes).isZero();
	}

	private void silenceThreeStreams() {
		for (int i = 0; i < 3; i++) {
			this.progressTracker.track(this.reservation.runnerIds());
		}
	}

	@Example
	void usualPausesAreNotProbed() throws Exception {
		checkAfter(599);
		assertThat(this.probes).isZero();
	}

	// Guards against a probe at every check, of which there are many per second.
	@Example
	void silentPathIsProbedAgainAfterAnInterval() throws Exception {
		checkAfter(600);
		checkAfter(100);
		assertThat(this.probes).isEqualTo(1);
		checkAfter(400);
		assertThat(this.probes).isEqualTo(2);
	}

	// Guards against a search for a path at every check, of which there are many per
	// second for each silent stream.
	@Example
	void backupIsTriedAgainAfterAnInterval() throws Exception {
		silenceThreeStreams();
		checkAfter(150);
		checkAfter(25);
		assertThat(this.suspected).hasSize(1);
		checkAfter(25);
		assertThat(this.suspected).hasSize(2);
	}

}
