package io.bilberryvalve.gateway.fleet;

import java.time.Duration;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class RunnerPausesTests {

	private final ManualClock clock = new ManualClock();

	private final RunnerPauses pauses = new RunnerPauses(this.clock);

	private static ListedRunner runner(String name, long started) {
		return new ListedRunner(new RunnerId(name), new Address("10.0.0.1", 80), "app", new DataCentreId("a"), 4, false,
				null, null, started, 0);
	}

	@Example
	void pauseEndsAfterItsTime() {
		assertThat(this.pauses.pause(runner("r1", 1), 1500)).isTrue();
		this.clock.advance(Duration.ofMillis(1499));
		assertThat(this.pauses.isPaused(runner("r1", 1))).isTrue();
		assertThat(this.pauses.isPaused(runner("r2", 1))).isFalse();
		this.clock.advance(Duration.ofMillis(1));
		assertThat(this.pauses.isPaused(runner("r1", 1))).isFalse();
	}

	// Guards against a late copy of an earlier response that shortens a pause.
	@Example
	void shorterPauseDoesNotShortenALongerOne() {
		this.pauses.pause(runner("r1", 1), 2000);
		assertThat(this.pauses.pause(runner("r1", 1), 100)).isFalse();
		assertThat(this.pauses.remainingMillis(runner("r1", 1))).isEqualTo(2000);
		assertThat(this.pauses.pause(runner("r1", 1), 3000)).isFalse();
		assertThat(this.pauses.remainingMillis(runner("r1", 1))).isEqualTo(3000);
	}

	// Guards against a restarted runner that stays idle because of its predecessor.
	@Example
	void laterStartIsNotPaused() {
		this.pauses.pause(runner("r1", 1), 2000);
		assertThat(this.pauses.isPaused(runner("r1", 2))).isFalse();
		assertThat(this.pauses.pause(runner("r1", 2), 500)).isTrue();
		assertThat(this.pauses.remainingMillis(runner("r1", 2))).isEqualTo(500);
	}

	@Example
	void absurdPauseIsLimited() {
		this.pauses.pause(runner("r1", 1), Long.MAX_VALUE);
		assertThat(this.pauses.remainingMillis(runner("r1", 1))).isEqualTo(RunnerPauses.MAX_PAUSE_MILLIS);
	}

	@Example
	void pausedRunnerIsProbedOnceInAPause() {
		assertThat(this.pauses.tryProbe(runner("r1", 1))).isTrue();
		this.pauses.pause(runner("r1", 1), 2000);
		assertThat(this.pauses.tryProbe(runner("r1", 1))).isTrue();
		this.pauses.pause(runner("r1", 1), 3000);
		assertThat(this.pauses.tryProbe(runner("r1", 1))).isFalse();
		this.clock.advance(Duration.ofMillis(3000));
		assertThat(this.pauses.tryProbe(runner("r1", 1))).isTrue();
	}

	@Example
	void endsOfPausesAreInOrder() {
		this.pauses.pause(runner("r1", 1), 2000);
		this.pauses.pause(runner("r2", 1), 500);
		assertThat(this.pauses.remainingMillis()).containsExactly(500, 2000);
		this.clock.advance(Duration.ofMillis(500));
		assertThat(this.pauses.remainingMillis()).containsExactly(1500);
	}

}
