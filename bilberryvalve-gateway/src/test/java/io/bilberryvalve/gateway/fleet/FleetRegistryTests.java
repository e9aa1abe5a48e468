package io.bilberryvalve.gateway.fleet;

import java.time.Duration;
import java.util.Collections;
import java.util.Map;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class FleetRegistryTests {

	private static final RunnerId ID = new RunnerId("r1");

	private final ManualClock clock = new ManualClock();

	private final FleetRegistry board = new FleetRegistry(this.clock);

	private static ListedRunner runner(boolean leaving) {
		return new ListedRunner(ID, new Address("10.0.0.1", 80), "app", new DataCentreId("a"), 4, leaving, null, null,
				1);
	}

	private boolean listed() {
		return this.board.snapshot().find(ID).isPresent();
	}

	// Guards against requests to runners that have left.
	@Example
	void runnerThatVanishesInQuietTimesIsGoneAtOnce() {
		this.board.replace(Map.of(ID, runner(false)));
		this.board.update(Collections.singletonMap(ID, null));
		assertThat(listed()).isFalse();
	}

	// Guards against an outage of the store that takes all runners away.
	@Example
	void lastKnownFleetStaysWhileTheListIsLost() {
		this.board.replace(Map.of(ID, runner(false)));
		this.board.markUnreachable();
		this.clock.advance(Duration.ofMinutes(1));
		this.board.removeExpired();
		assertThat(listed()).isTrue();
	}

	// Guards against runners that are dropped because their entries expired in the
	// outage.
	@Example
	void runnerThatIsListedAgainAfterAnOutageIsNeverMissing() {
		this.board.replace(Map.of(ID, runner(false)));
		this.board.markUnreachable();
		this.board.markReachable();
		this.board.replace(Map.of());
		assertThat(listed()).isTrue();
		this.clock.advance(Duration.ofMillis(1900));
		this.board.removeExpired();
		assertThat(listed()).isTrue();
		this.board.update(Map.of(ID, runner(false)));
		this.clock.advance(Duration.ofSeconds(5));
		this.board.removeExpired();
		assertThat(listed()).isTrue();
	}

	@Example
	void runnerThatStaysMissingAfterAnOutageIsGoneAfterTwoSeconds() {
		this.board.replace(Map.of(ID, runner(false)));
		this.board.markUnreachable();
		this.board.markReachable();
		this.board.replace(Map.of());
		this.clock.advance(Duration.ofMillis(2000));
		this.board.removeExpired();
		assertThat(listed()).isFalse();
	}

	// Guards against a draining runner that gets work because an outage hides its
	// removal.
	@Example
	void leavingRunnerIsNotKeptAfterAnOutage() {
		this.board.replace(Map.of(ID, runner(true)));
		this.board.markUnreachable();
		this.board.markReachable();
		this.board.replace(Map.of());
		assertThat(listed()).isFalse();
	}

}
