package io.bilberryvalve.gateway.fleet;

import java.time.Duration;
import java.util.Set;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class RunnerAvailabilityTests {

	private static final RunnerId ID = new RunnerId("r1");

	private final ManualClock clock = new ManualClock();

	private final RunnerAvailability availability = new RunnerAvailability(this.clock);

	@Example
	void failedRunnerIsAvoidedForAWhile() {
		this.availability.recordFailure(ID, "silent");
		assertThat(this.availability.isUsable(ID)).isFalse();
		this.clock.advance(Duration.ofMillis(500));
		assertThat(this.availability.isUsable(ID)).isTrue();
	}

	// Guards against a dead runner on which many requests fail, each after the same short
	// backoff.
	@Example
	void backoffDoublesWithEachConsecutiveFailure() {
		for (int i = 0; i < 3; i++) {
			this.availability.recordFailure(ID, "silent");
			this.clock.advance(Duration.ofMillis(500L << i));
		}
		this.availability.recordFailure(ID, "silent");
		this.clock.advance(Duration.ofMillis(3999));
		assertThat(this.availability.isUsable(ID)).isFalse();
	}

	// Guards against counting one event many times because many requests report it.
	@Example
	void failuresWhileARunnerIsAvoidedCountOnce() {
		for (int i = 0; i < 100; i++) {
			this.availability.recordFailure(ID, "silent");
		}
		this.clock.advance(Duration.ofMillis(500));
		assertThat(this.availability.isUsable(ID)).isTrue();
	}

	// Guards against daemons that each need a stalled stream of their own to detect a
	// loss that another one has already found.
	@Example
	void lossThatAnotherDaemonReportsCounts() {
		ListedRunner runner = runner(1);
		this.availability.applyReport("other", Set.of(ID), Set.of());
		assertThat(this.availability.isLost(runner)).isTrue();
		assertThat(this.availability.isUsable(ID)).isFalse();
		assertThat(this.availability.lostRunners()).isEmpty();
		this.clock.advance(Duration.ofMillis(1001));
		assertThat(this.availability.isLost(runner)).isFalse();
		assertThat(this.availability.isUsable(ID)).isTrue();
	}

	// Guards against a restarted runner that gets no layers because it was lost before
	// the restart.
	@Example
	void laterStartWithTheSameIdentifierIsNotLost() {
		this.availability.markLost(runner(1), "refuses connections");
		assertThat(this.availability.lostRunners()).containsExactly(ID);
		assertThat(this.availability.isLost(runner(1))).isTrue();
		assertThat(this.availability.isLost(runner(2))).isFalse();
	}

	@Example
	void successOrTimeEndsALoss() {
		this.availability.markLost(runner(1), "refuses connections");
		this.availability.recordSuccess(ID);
		assertThat(this.availability.isLost(runner(1))).isFalse();
		this.availability.markLost(runner(1), "refuses connections");
		this.clock.advance(Duration.ofMillis(3001));
		assertThat(this.availability.isLost(runner(1))).isFalse();
		assertThat(this.availability.lostRunners()).isEmpty();
	}

	// Guards against requests to a runner that drops its layers: it refuses all of them
	// until the list shows the change.
	@Example
	void runnerThatChangesItsLayersGetsNoRequests() {
		assertThat(this.availability.setChanging(Set.of(ID))).isTrue();
		assertThat(this.availability.setChanging(Set.of(ID))).isFalse();
		assertThat(this.availability.isUsable(ID)).isFalse();
		this.availability.setChanging(Set.of());
		assertThat(this.availability.isUsable(ID)).isTrue();
		this.availability.applyReport("holder", Set.of(), Set.of(ID));
		assertThat(this.availability.isUsable(ID)).isFalse();
		assertThat(this.availability.isLost(runner(1))).isFalse();
		this.availability.applyReport("holder", Set.of(), Set.of());
		assertThat(this.availability.isUsable(ID)).isTrue();
	}

	private static ListedRunner runner(long started) {
		return new ListedRunner(ID, new Address("10.0.0.1", 1000), "model", new DataCentreId("a"), 4, false, "card",
				null, started, 0);
	}

	@Example
	void successResetsTheBackoff() {
		this.availability.recordFailure(ID, "silent");
		this.clock.advance(Duration.ofMillis(500));
		this.availability.recordSuccess(ID);
		this.availability.recordFailure(ID, "silent");
		this.clock.advance(Duration.ofMillis(500));
		assertThat(this.availability.isUsable(ID)).isTrue();
	}

}
