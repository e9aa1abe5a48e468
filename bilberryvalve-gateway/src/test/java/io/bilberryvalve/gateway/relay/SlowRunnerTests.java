package io.bilberryvalve.gateway.relay;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadTracker;
import io.bilberryvalve.gateway.fleet.RunnerAvailability;
import io.bilberryvalve.gateway.route.Service;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.placement.CardKind;
import io.bilberryvalve.policy.placement.EngineProfile;
import io.bilberryvalve.policy.quarantine.PartQuarantine;
import io.bilberryvalve.policy.retry.RetryBudget;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the choice between engines whose streams are slower than their profile says.
 */
class SlowRunnerTests {

	private static final DataCentreId HERE = new DataCentreId("a");

	private static final RequestSize SIZE = new RequestSize(500, 100);

	private static final EngineProfile ENGINE = new EngineProfile(100, 8, 1000, 100_000, 20, 0.01, 0.01, 200, 2, 500,
			100, 0, 0, 10,
			Map.of("quick", new CardKind("quick", 12000, 1, 1), "slow", new CardKind("slow", 12000, 2, 2)), Map.of());

	private final ManualClock clock = new ManualClock();

	private final FleetRegistry fleetRegistry = new FleetRegistry(this.clock);

	private final RelayContext context = new RelayContext(RelayFixture.HEADER_NAMES, HERE, this.clock,
			this.fleetRegistry, new LoadTracker(this.clock), new RunnerAvailability(this.clock),
			new PartQuarantine(this.clock), new RetryBudget(this.clock),
			(runner) -> CompletableFuture.completedFuture(new StallProbe.ProbeResult(true, List.of())), (loop) -> {
				throw new IllegalStateException("nothing is sent");
			});

	private void list(String name, int port, String card) {
		Map<RunnerId, ListedRunner> listed = new HashMap<>();
		listed.put(new RunnerId(name), new ListedRunner(new RunnerId(name), new Address("127.0.0.1", port), "model",
				HERE, 100, false, card, new LayerRange(0, 8), 1, 0));
		this.fleetRegistry.update(listed);
	}

	private Reservation reserve(ReservationQueue queue) {
		return queue.reserveElsewhere(SIZE, Set.of()).orElseThrow();
	}

	// Guards against requests that are sent to the runner with the fastest card although
	// its streams show that it is four times slower than that.
	@Example
	void runnerWithSlowStreamsIsAvoidedAndTriedAgain() {
		list("fast", 1001, "quick");
		list("other", 1002, "slow");
		ReservationQueue queue = this.context.reservationQueue(new Service("model", ENGINE));
		Reservation first = reserve(queue);
		assertThat(first.firstRunner().id().value()).isEqualTo("fast");
		playSlowStream(first);
		assertThat(this.context.metrics().toPrometheusText()).contains("bilberryvalve_runners_slow 1");
		assertThat(reserve(queue).firstRunner().id().value()).isEqualTo("other");
		this.clock.advance(Duration.ofSeconds(3));
		assertThat(reserve(queue).firstRunner().id().value()).isEqualTo("fast");
		assertThat(reserve(queue).firstRunner().id().value()).isEqualTo("other");
	}

	// Plays events that take about four times as long as expected.
	private void playSlowStream(Reservation reservation) {
		EventLoop loop = new DefaultEventLoop();
		try {
			StallDetector detector = new StallDetector(this.context, loop, new Unused());
			long eventMillis = Math.round(4 * 2 * reservation.path().tokenMillis());
			for (int i = 0; i < 10; i++) {
				this.clock.advance(Duration.ofMillis(eventMillis));
				detector.trackStream(reservation, i == 0);
				detector.eventReceived();
			}
		}
		finally {
			loop.shutdownGracefully();
		}
	}

	/** Ignores stalls. */
	private static final class Unused implements StallDetector.Listener {

		@Override
		public boolean runnersSuspected(Reservation reservation, Set<RunnerId> suspects, long silenceMillis) {
			return false;
		}

		@Override
		public void pathStalled(Reservation reservation, Set<RunnerId> blamed, long silenceMillis) {
		}

	}

}
