package io.bilberryvalve.gateway.relay;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import io.bilberryvalve.gateway.fleet.FleetBoard;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.gateway.fleet.LoadBook;
import io.bilberryvalve.gateway.fleet.ProgressBoard;
import io.bilberryvalve.gateway.fleet.Trust;
import io.bilberryvalve.gateway.route.RequestKind;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.path.LayerPath;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.retry.RetryBudget;
import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class StallCheckTests {

	private static final DataCentreId HERE = new DataCentreId("a");

	private static final Route ROUTE = new Route("r", "h", "/", RequestKind.STREAMING, Duration.ofSeconds(20),
			Duration.ofMillis(500), Duration.ofMillis(200), 1, List.of(new Route.WeightedService("s", 1)), 2, false,
			true);

	private final ManualClock clock = new ManualClock();

	private final Trust trust = new Trust(this.clock);

	private final List<Set<RunnerId>> stalls = new ArrayList<>();

	private final List<Set<RunnerId>> suspected = new ArrayList<>();

	private final EventLoop loop = new DefaultEventLoop();

	private ProgressBoard progress = new ProgressBoard(this.clock);

	private boolean moves;

	private StallReports.Stall report = new StallReports.Stall(true, List.of());

	private int asked;

	private static ListedRunner runner(String name, int port, LayerRange layers) {
		return new ListedRunner(new RunnerId(name), new Address("127.0.0.1", port), "s", HERE, 4, false, "card", layers,
				1);
	}

	private final ListedRunner first = runner("first", 1001, new LayerRange(0, 2));

	private final ListedRunner second = runner("second", 1002, new LayerRange(2, 4));

	private final Seat seat = new Seat(List.of(this.first, this.second),
			new LayerPath(List.of(new LayerPath.Hop(this.first.id(), new LayerRange(0, 2)),
					new LayerPath.Hop(this.second.id(), new LayerRange(2, 4))), 100, 10),
			new RequestSize(10, 10));

	private final StallCheck check = check();

	private StallCheck check() {
		FleetBoard board = new FleetBoard(this.clock);
		Map<RunnerId, ListedRunner> listed = new HashMap<>();
		listed.put(this.first.id(), this.first);
		listed.put(this.second.id(), this.second);
		board.replace(listed);
		RelayContext context = new RelayContext(RelayFixture.DIALECT, HERE, this.clock, board, new LoadBook(this.clock),
				this.trust, new RetryBudget(this.clock), (runner) -> {
					this.asked++;
					return CompletableFuture.completedFuture(this.report);
				}, (unused) -> {
					throw new IllegalStateException("nothing is sent");
				});
		this.progress = context.progress();
		StallCheck result = new StallCheck(context, this.loop, new StallCheck.Listener() {

			@Override
			public boolean suspected(Seat place, Set<RunnerId> suspects, long silent) {
				StallCheckTests.this.suspected.add(suspects);
				return StallCheckTests.this.moves;
			}

			@Override
			public void stalled(Seat place, Set<RunnerId> blamed, long silent) {
				StallCheckTests.this.stalls.add(blamed);
			}

		});
		result.progress();
		return result;
	}

	private void checkAfter(long millis) throws Exception {
		this.clock.advance(Duration.ofMillis(millis));
		this.loop.submit(() -> this.check.check(ROUTE, this.seat, true, 0)).get();
		this.loop.submit(() -> {
		}).get();
	}

	// Guards against streams that are broken off at slow engines: the second attempt
	// would
	// read the whole prompt again.
	@Example
	void silentPathWithoutStalledRunnerIsKept() throws Exception {
		checkAfter(5000);
		assertThat(this.asked).isEqualTo(1);
		assertThat(this.stalls).isEmpty();
		assertThat(this.trust.trusted(this.first.id())).isTrue();
	}

	@Example
	void runnerThatTheFirstOneWaitsForIsTheCause() throws Exception {
		this.report = new StallReports.Stall(true, List.of(this.second.address()));
		checkAfter(600);
		assertThat(this.stalls).containsExactly(Set.of(this.second.id()));
		assertThat(this.trust.trusted(this.second.id())).isFalse();
		assertThat(this.trust.trusted(this.first.id())).isTrue();
	}

	@Example
	void firstRunnerWithoutReportIsTheCause() throws Exception {
		this.report = new StallReports.Stall(false, List.of());
		checkAfter(600);
		assertThat(this.stalls).containsExactly(Set.of(this.first.id()));
	}

	// Replays the loss of a card while no other path has room. Guards against a runner
	// that
	// nobody names because its streams cannot leave it.
	@Example
	void runnersThatStreamsCannotLeaveAreAskedForTheCause() throws Exception {
		silenceThreeStreams();
		this.report = new StallReports.Stall(true, List.of(this.second.address()));
		checkAfter(600);
		assertThat(this.suspected).containsExactly(Set.of(this.first.id(), this.second.id()));
		assertThat(this.stalls).containsExactly(Set.of(this.second.id()));
	}

	@Example
	void streamThatHasLeftAsksNoMore() throws Exception {
		silenceThreeStreams();
		this.moves = true;
		checkAfter(600);
		assertThat(this.suspected).hasSize(1);
		assertThat(this.asked).isZero();
	}

	private void silenceThreeStreams() {
		for (int i = 0; i < 3; i++) {
			this.progress.join(this.seat.ids());
		}
	}

	@Example
	void usualPausesAreNotLookedAt() throws Exception {
		checkAfter(599);
		assertThat(this.asked).isZero();
	}

	// Guards against a report for each of many checks a second.
	@Example
	void keptPathIsLookedAtAgainAfterAWhile() throws Exception {
		checkAfter(600);
		checkAfter(100);
		assertThat(this.asked).isEqualTo(1);
		checkAfter(400);
		assertThat(this.asked).isEqualTo(2);
	}

}
