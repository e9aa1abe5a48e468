package io.bilberryvalve.daemon.lifecycle;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.membership.DrainPlan;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class DrainCoordinatorTests {

	private static final Duration LIST_TIME = Duration.ofSeconds(5);

	private final ManualClock clock = new ManualClock();

	private final Lifecycle lifecycle = new Lifecycle();

	private final AtomicInteger announcements = new AtomicInteger();

	private final DrainCoordinator drain = new DrainCoordinator(this.lifecycle, this.announcements::incrementAndGet,
			LIST_TIME, this.clock);

	// Guards against an entry that refuses callers with an old entry list, or that
	// stops before the requests in progress have ended (R6).
	@Example
	void servesOldListsThenRefusesThenWaitsForLastRequest() {
		this.lifecycle.advanceTo(ServingState.READY);
		assertThat(this.lifecycle.tryBeginRequest()).isTrue();
		assertThat(this.drain.begin()).isTrue();
		assertThat(this.drain.begin()).as("second request to drain").isFalse();
		assertThat(this.announcements).hasValue(1);
		advance(Duration.ofMillis(5900));
		assertThat(this.lifecycle.tryBeginRequest()).as("accepted while lists may be cached").isTrue();
		advance(Duration.ofMillis(200));
		assertThat(this.lifecycle.tryBeginRequest()).as("refused afterwards").isFalse();
		advance(Duration.ofMinutes(10));
		assertThat(stopped().isDone()).as("two requests in progress").isFalse();
		this.lifecycle.endRequest();
		advance(Duration.ofSeconds(1));
		assertThat(stopped().isDone()).as("one request in progress").isFalse();
		this.lifecycle.endRequest();
		advance(Duration.ZERO);
		assertThat(stopped().isDone()).isTrue();
		assertThat(this.lifecycle.state()).isEqualTo(ServingState.STOPPED);
	}

	// Guards against a drain that ignores the configured lifetime of entry lists and
	// refuses callers that still use theirs.
	@Property(seed = "52", tries = 20)
	void acceptsWhileListsOfTheConfiguredTimeAreUsed(@ForAll @IntRange(min = 1, max = 60_000) int millis) {
		Lifecycle entry = new Lifecycle();
		entry.advanceTo(ServingState.READY);
		ManualClock time = new ManualClock();
		try (DrainCoordinator coordinator = new DrainCoordinator(entry, () -> {
		}, Duration.ofMillis(millis), time)) {
			coordinator.begin();
			time.advance(Duration.ofMillis(millis).plus(DrainPlan.ANNOUNCEMENT_TIME).minusMillis(1));
			coordinator.advance();
			assertThat(entry.state()).isEqualTo(ServingState.LEAVING);
			time.advance(Duration.ofMillis(1));
			coordinator.advance();
			assertThat(entry.state()).isEqualTo(ServingState.DRAINING);
		}
	}

	// Guards against an entry that never had a configuration and yet accepts requests
	// while it is leaving.
	@Example
	void entryThatWasNeverReadyRefusesAtOnce() {
		this.drain.begin();
		assertThat(this.lifecycle.tryBeginRequest()).isFalse();
		advance(Duration.ZERO);
		assertThat(stopped().isDone()).isTrue();
	}

	// Guards against a race in which a request starts after the drain has counted the
	// requests in progress for the last time and before the entry stops.
	@Property(seed = "51", tries = 20)
	void neverStopsWhileRequestRuns(@ForAll @IntRange(min = 2, max = 8) int threads) {
		Lifecycle shared = new Lifecycle();
		shared.advanceTo(ServingState.READY);
		ManualClock time = new ManualClock();
		DrainCoordinator coordinator = new DrainCoordinator(shared, () -> {
		}, LIST_TIME, time);
		AtomicInteger violations = new AtomicInteger();
		CompletableFuture<?>[] callers = new CompletableFuture<?>[threads];
		for (int i = 0; i < threads; i++) {
			callers[i] = CompletableFuture.runAsync(() -> {
				while (shared.tryBeginRequest()) {
					if (shared.state() == ServingState.STOPPED) {
						violations.incrementAndGet();
					}
					shared.endRequest();
				}
			}, (task) -> new Thread(task).start());
		}
		coordinator.begin();
		time.advance(Duration.ofSeconds(10));
		for (int i = 0; i < 10_000_000 && !coordinator.completion().toCompletableFuture().isDone(); i++) {
			coordinator.advance();
		}
		assertThat(coordinator.completion().toCompletableFuture().isDone()).isTrue();
		CompletableFuture.allOf(callers).join();
		coordinator.close();
		assertThat(violations).hasValue(0);
	}

	private CompletableFuture<Void> stopped() {
		return this.drain.completion().toCompletableFuture();
	}

	private void advance(Duration duration) {
		this.clock.advance(duration);
		this.drain.advance();
		this.drain.advance();
	}

}
