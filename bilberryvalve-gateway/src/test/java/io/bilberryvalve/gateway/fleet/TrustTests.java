package io.bilberryvalve.gateway.fleet;

import java.time.Duration;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class TrustTests {

	private static final RunnerId ID = new RunnerId("r1");

	private final ManualClock clock = new ManualClock();

	private final Trust trust = new Trust(this.clock);

	@Example
	void failedRunnerIsAvoidedForAWhile() {
		this.trust.failed(ID, "silent");
		assertThat(this.trust.trusted(ID)).isFalse();
		this.clock.advance(Duration.ofMillis(500));
		assertThat(this.trust.trusted(ID)).isTrue();
	}

	// Guards against a dead runner that costs each of many requests a failure.
	@Example
	void timeDoublesWithEachFailureInARow() {
		for (int i = 0; i < 3; i++) {
			this.trust.failed(ID, "silent");
			this.clock.advance(Duration.ofMillis(500L << i));
		}
		this.trust.failed(ID, "silent");
		this.clock.advance(Duration.ofMillis(3999));
		assertThat(this.trust.trusted(ID)).isFalse();
	}

	// Guards against one event that many requests report and that counts many times.
	@Example
	void failuresWhileARunnerIsAvoidedCountOnce() {
		for (int i = 0; i < 100; i++) {
			this.trust.failed(ID, "silent");
		}
		this.clock.advance(Duration.ofMillis(500));
		assertThat(this.trust.trusted(ID)).isTrue();
	}

	@Example
	void successRestoresFullTrust() {
		this.trust.failed(ID, "silent");
		this.clock.advance(Duration.ofMillis(500));
		this.trust.succeeded(ID);
		this.trust.failed(ID, "silent");
		this.clock.advance(Duration.ofMillis(500));
		assertThat(this.trust.trusted(ID)).isTrue();
	}

}
