package io.bilberryvalve.gateway.fleet;

import java.time.Duration;
import java.util.Collections;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class FleetRegistryTests {

	private static final RunnerId ID = new RunnerId("r1");

	private final ManualClock clock = new ManualClock();

	private final FleetRegistry registry = new FleetRegistry(this.clock);

	private static ListedRunner runner(boolean leaving) {
		return runner(leaving, 1);
	}

	private static ListedRunner runner(boolean leaving, long started) {
		return new ListedRunner(ID, new Address("10.0.0.1", 80), "app", new DataCentreId("a"), 4, leaving, null, null,
				started);
	}

	private boolean leaving() {
		return this.registry.snapshot().find(ID).orElseThrow().leaving();
	}

	private boolean listed() {
		return this.registry.snapshot().find(ID).isPresent();
	}

	// Guards against requests to runners that have left.
	@Example
	void runnerRemovedWithoutAnOutageIsGoneAtOnce() {
		this.registry.replace(Map.of(ID, runner(false)));
		this.registry.update(Collections.singletonMap(ID, null));
		assertThat(listed()).isFalse();
	}

	// Guards against the loss of all runners during an outage of the store.
	@Example
	void lastKnownRunnersStayWhileTheListIsUnreachable() {
		this.registry.replace(Map.of(ID, runner(false)));
		this.registry.markUnreachable();
		this.clock.advance(Duration.ofMinutes(1));
		this.registry.removeExpired();
		assertThat(listed()).isTrue();
	}

	// Guards against runners that are dropped because their entries expired during the
	// outage.
	@Example
	void runnerThatIsListedAgainAfterAnOutageIsNeverMissing() {
		this.registry.replace(Map.of(ID, runner(false)));
		this.registry.markUnreachable();
		this.registry.markReachable();
		this.registry.replace(Map.of());
		assertThat(listed()).isTrue();
		this.clock.advance(Duration.ofMillis(1900));
		this.registry.removeExpired();
		assertThat(listed()).isTrue();
		this.registry.update(Map.of(ID, runner(false)));
		this.clock.advance(Duration.ofSeconds(5));
		this.registry.removeExpired();
		assertThat(listed()).isTrue();
	}

	@Example
	void runnerThatStaysMissingAfterAnOutageIsGoneAfterTwoSeconds() {
		this.registry.replace(Map.of(ID, runner(false)));
		this.registry.markUnreachable();
		this.registry.markReachable();
		this.registry.replace(Map.of());
		this.clock.advance(Duration.ofMillis(2000));
		this.registry.removeExpired();
		assertThat(listed()).isFalse();
	}

	// Guards against work for each heartbeat of each runner, of which hundreds arrive in
	// a second.
	@Example
	void entryThatDoesNotChangeChangesNothing() {
		this.registry.replace(Map.of(ID, runner(false)));
		AtomicInteger changes = new AtomicInteger();
		this.registry.onChange(changes::incrementAndGet);
		FleetSnapshot before = this.registry.snapshot();
		this.registry.update(Map.of(ID, runner(false)));
		this.registry.replace(Map.of(ID, runner(false)));
		this.registry.update(Collections.singletonMap(new RunnerId("unknown"), null));
		assertThat(this.registry.snapshot()).isSameAs(before);
		assertThat(changes).hasValue(0);
		this.registry.update(Map.of(ID, runner(true)));
		assertThat(changes).hasValue(1);
	}

	@Example
	void emptyListCountsAsLoaded() {
		AtomicInteger changes = new AtomicInteger();
		this.registry.onChange(changes::incrementAndGet);
		this.registry.replace(Map.of());
		assertThat(this.registry.isLoaded()).isTrue();
		assertThat(changes).hasValue(1);
	}

	// Guards against requests to a runner that has said that it leaves, when its entry
	// does not say so or comes back after an outage.
	@Example
	void runnerThatSaidThatItLeavesStaysLeaving() {
		this.registry.replace(Map.of(ID, runner(false)));
		assertThat(this.registry.recordLeaving(runner(false))).isTrue();
		assertThat(leaving()).isTrue();
		assertThat(this.registry.recordLeaving(runner(false))).isFalse();
		this.registry.update(Map.of(ID, runner(false)));
		assertThat(leaving()).isTrue();
		this.registry.update(Collections.singletonMap(ID, null));
		this.clock.advance(Duration.ofMinutes(1));
		this.registry.removeExpired();
		this.registry.replace(Map.of(ID, runner(false)));
		assertThat(leaving()).isTrue();
	}

	// Guards against a restarted runner that stays idle because of its predecessor.
	@Example
	void runnerThatStartsAgainIsNotLeaving() {
		this.registry.replace(Map.of(ID, runner(false)));
		this.registry.recordLeaving(runner(false));
		this.registry.update(Map.of(ID, runner(false, 2)));
		assertThat(leaving()).isFalse();
		assertThat(this.registry.recordLeaving(runner(false, 1))).isFalse();
		assertThat(leaving()).isFalse();
	}

	@Example
	void runnerThatIsNotListedCanSayThatItLeaves() {
		this.registry.replace(Map.of());
		assertThat(this.registry.recordLeaving(runner(false))).isTrue();
		this.registry.update(Map.of(ID, runner(false)));
		assertThat(leaving()).isTrue();
	}

	// Guards against requests to a draining runner because an outage hides its removal.
	@Example
	void leavingRunnerIsNotKeptAfterAnOutage() {
		this.registry.replace(Map.of(ID, runner(true)));
		this.registry.markUnreachable();
		this.registry.markReachable();
		this.registry.replace(Map.of());
		assertThat(listed()).isFalse();
	}

}
