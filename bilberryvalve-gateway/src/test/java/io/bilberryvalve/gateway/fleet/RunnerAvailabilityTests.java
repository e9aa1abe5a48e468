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

	private final RunnerAvailability trust = new RunnerAvailability(this.clock);

	@Example
	void failedRunnerIsAvoidedForAWhile() {
		this.trust.recordFailure(ID, "silent");
		assertThat(this.trust.isUsable(ID)).isFalse();
		this.clock.advance(Duration.ofMillis(500));
		assertThat(this.trust.isUsable(ID)).isTrue();
	}

	// Guards against a dead runner that costs each of many requests a failure.
	@Example
	void timeDoublesWithEachFailureInARow() {
		for (int i = 0; i < 3; i++) {
			this.trust.recordFailure(ID, "silent");
			this.clock.advance(Duration.ofMillis(500L << i));
		}
		this.trust.recordFailure(ID, "silent");
		this.clock.advance(Duration.ofMillis(3999));
		assertThat(this.trust.isUsable(ID)).isFalse();
	}

	// Guards against one event that many requests report and that counts many times.
	@Example
	void failuresWhileARunnerIsAvoidedCountOnce() {
		for (int i = 0; i < 100; i++) {
			this.trust.recordFailure(ID, "silent");
		}
		this.clock.advance(Duration.ofMillis(500));
		assertThat(this.trust.isUsable(ID)).isTrue();
	}

	// Guards against daemons that each find out by a stalled stream what one of them
	// knows.
	@Example
	void lossThatAnotherDaemonReportsCounts() {
		ListedRunner runner = runner(1);
		this.trust.applyReport("other", Set.of(ID), Set.of());
		assertThat(this.trust.isLost(runner)).isTrue();
		assertThat(this.trust.isUsable(ID)).isFalse();
		assertThat(this.trust.lostRunners()).isEmpty();
		this.clock.advance(Duration.ofMillis(1001));
		assertThat(this.trust.isLost(runner)).isFalse();
		assertThat(this.trust.isUsable(ID)).isTrue();
	}

	// Guards against a restarted runner that gets no layers because its last start was
	// lost.
	@Example
	void laterStartUnderTheSameNameIsNotLost() {
		this.trust.markLost(runner(1), "refuses connections");
		assertThat(this.trust.lostRunners()).containsExactly(ID);
		assertThat(this.trust.isLost(runner(1))).isTrue();
		assertThat(this.trust.isLost(runner(2))).isFalse();
	}

	@Example
	void answerOrTimeEndsALoss() {
		this.trust.markLost(runner(1), "refuses connections");
		this.trust.recordSuccess(ID);
		assertThat(this.trust.isLost(runner(1))).isFalse();
		this.trust.markLost(runner(1), "refuses connections");
		this.clock.advance(Duration.ofMillis(3001));
		assertThat(this.trust.isLost(runner(1))).isFalse();
		assertThat(this.trust.lostRunners()).isEmpty();
	}

	// Guards against requests to a runner that gives up its layers: it refuses all of
	// them
	// until the list shows the change.
	@Example
	void runnerThatChangesItsLayersGetsNoRequests() {
		assertThat(this.trust.setChanging(Set.of(ID))).isTrue();
		assertThat(this.trust.setChanging(Set.of(ID))).isFalse();
		assertThat(this.trust.isUsable(ID)).isFalse();
		this.trust.setChanging(Set.of());
		assertThat(this.trust.isUsable(ID)).isTrue();
		this.trust.applyReport("holder", Set.of(), Set.of(ID));
		assertThat(this.trust.isUsable(ID)).isFalse();
		assertThat(this.trust.isLost(runner(1))).isFalse();
		this.trust.applyReport("holder", Set.of(), Set.of());
		assertThat(this.trust.isUsable(ID)).isTrue();
	}

	private static ListedRunner runner(long started) {
		return new ListedRunner(ID, new Address("10.0.0.1", 1000), "model", new DataCentreId("a"), 4, false, "card",
				null, started);
	}

	@Example
	void successRestoresFullTrust() {
		this.trust.recordFailure(ID, "silent");
		this.clock.advance(Duration.ofMillis(500));
		this.trust.recordSuccess(ID);
		this.trust.recordFailure(ID, "silent");
		this.clock.advance(Duration.ofMillis(500));
		assertThat(this.trust.isUsable(ID)).isTrue();
	}

}
