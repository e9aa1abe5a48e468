package io.bilberryvalve.gateway.peer;

import java.time.Duration;

import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class VersionLagTests {

	private final ManualClock clock = new ManualClock();

	private final VersionLag lag = new VersionLag(this.clock);

	@Example
	void lagCountsFromTheFirstReportOfAMissingVersion() {
		assertThat(this.lag.compare("a", 7, 7)).isZero();
		assertThat(this.lag.compare("a", 9, 7)).isZero();
		this.clock.advance(Duration.ofMillis(700));
		assertThat(this.lag.compare("b", 12, 7)).isEqualTo(700);
	}

	// Guards against a daemon that appears to lag because a slower peer reports last.
	@Example
	void appliedVersionEndsTheLag() {
		this.lag.compare("a", 9, 7);
		this.clock.advance(Duration.ofMillis(700));
		assertThat(this.lag.compare("b", 7, 9)).isZero();
		this.clock.advance(Duration.ofMillis(700));
		assertThat(this.lag.compare("a", 12, 9)).isZero();
	}

}
