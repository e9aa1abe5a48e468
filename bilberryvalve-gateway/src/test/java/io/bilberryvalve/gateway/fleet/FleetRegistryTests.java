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
		return runner(leaving, started, 0);
	}

	private static ListedRunner runner(boolean leaving, long started, long heartbeats) {
		return new ListedRunner(ID, new Address("10.0.0.1", 80), "app", new DataCentreId("a"), 4, leaving, null, null,
				started, heartbeats);
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

	// Guards against requests to a runner that leaves, when the store performs a lost
	// write of an earlier heartbeat after the notice.
	@Example
	void lateHeartbeatDoesNotUndoTheNoticeThatARunnerLeaves() {
		this.registry.replace(Map.of(ID, runner(false, 1, 8)));
		this.registry.update(Map.of(ID, runner(true, 1, 12)));
		this.registry.update(Map.of(ID, runner(false, 1, 9)));
		assertThat(leaving()).isTrue();
		this.registry.replace(Map.of(ID, runner(false, 1, 11)));
		assertThat(leaving()).isTrue();
	}

	@Example
	void laterHeartbeatIsApplied() {
		this.registry.replace(Map.of(ID, runner(true, 1, 8)));
		this.registry.update(Map.of(ID, runner(false, 1, 9)));
		assertThat(leaving()).isFalse();
	}

	// Guards against requests to a runner that has left without a notice, when the store
	// performs a lost write of its last heartbeats after the removal of its entry.
	@Example
	void lateHeartbeatsDoNotListARemovedRunner() {
		this.registry.replace(Map.of(ID, runner(false, 1, 8)));
		this.registry.update(Collections.singletonMap(ID, null));
		this.registry.update(Map.of(ID, runner(false, 1, 7)));
		this.registry.update(Map.of(ID, runner(false, 1, 8)));
		assertThat(listed()).isFalse();
		this.registry.update(Map.of(ID, runner(false, 1, 9)));
		this.registry.replace(Map.of(ID, runner(false, 1, 9)));
		assertThat(listed()).isFalse();
		this.clock.advance(Duration.ofSeconds(3));
		this.registry.removeExpired();
		this.registry.update(Collections.singletonMap(ID, null));
		this.clock.advance(Duration.ofSeconds(30));
		this.registry.removeExpired();
		assertThat(listed()).isFalse();
	}

	// Guards against a runner that stays idle after its connections were cut for a while.
	@Example
	void runnerThatComesBackIsListedWithItsSecondHeartbeat() {
		this.registry.replace(Map.of(ID, runner(false, 1, 8)));
		this.registry.update(Collections.singletonMap(ID, null));
		this.registry.update(Map.of(ID, runner(false, 1, 20)));
		assertThat(listed()).isFalse();
		this.registry.update(Map.of(ID, runner(false, 1, 21)));
		assertThat(listed()).isTrue();
	}

	@Example
	void entryThatStaysAfterItCameBackIsListed() {
		this.registry.replace(Map.of(ID, runner(false, 1, 8)));
		this.registry.update(Collections.singletonMap(ID, null));
		this.registry.update(Map.of(ID, runner(false, 1, 9)));
		this.clock.advance(Duration.ofSeconds(4));
		this.registry.removeExpired();
		assertThat(listed()).isTrue();
	}

	// Guards against a late heartbeat that keeps a runner whose entry did not come back
	// after an outage.
	@Example
	void lateHeartbeatDoesNotKeepARunnerThatIsMissingAfterAnOutage() {
		this.registry.replace(Map.of(ID, runner(false, 1, 8)));
		this.registry.markUnreachable();
		this.registry.markReachable();
		this.registry.replace(Map.of());
		this.registry.update(Map.of(ID, runner(false, 1, 7)));
		this.clock.advance(Duration.ofMillis(2000));
		this.registry.removeExpired();
		assertThat(listed()).isFalse();
	}

	// Guards against the layers and the address of a process that has ended, when its
	// last heartbeat is written after the first one of its successor.
	@Example
	void lateHeartbeatOfAnEarlierStartIsIgnored() {
		this.registry.replace(Map.of(ID, runner(false, 1000, 50)));
		this.registry.update(Map.of(ID, runner(false, 2000, 1)));
		this.registry.update(Map.of(ID, runner(true, 1000, 51)));
		assertThat(leaving()).isFalse();
		assertThat(this.registry.snapshot().find(ID).orElseThrow().startedMillis()).isEqualTo(2000);
	}

	// Guards against a runner that stays idle because its clock was set back before it
	// started again.
	@Example
	void runnerWhoseClockWasSetBackIsListedAgain() {
		this.registry.replace(Map.of(ID, runner(true, 2000, 50)));
		for (int i = 1; i <= 10; i++) {
			this.registry.update(Map.of(ID, runner(false, 1000, i)));
			this.clock.advance(Duration.ofMillis(1200));
		}
		assertThat(leaving()).isFalse();
	}

	@Example
	void entriesWithoutNumbersReplaceEachOther() {
		this.registry.replace(Map.of(ID, runner(false, 1, 5)));
		this.registry.update(Map.of(ID, runner(true, 1, 0)));
		assertThat(leaving()).isTrue();
		this.registry.update(Map.of(ID, runner(false, 1, 0)));
		assertThat(leaving()).isFalse();
	}

	// Guards against runners that vanish because the store was restored from a copy that
	// lacks their entries.
	@Example
	void runnerMissingFromARestoredListStaysForTwoSeconds() {
		this.registry.replace(Map.of(ID, runner(false, 1, 8)));
		this.registry.replaceRestored(Map.of());
		this.clock.advance(Duration.ofMillis(1900));
		this.registry.removeExpired();
		assertThat(listed()).isTrue();
		this.clock.advance(Duration.ofMillis(100));
		this.registry.removeExpired();
		assertThat(listed()).isFalse();
	}

	// Guards against a live runner whose new entries are taken for late writes, because
	// it continues from the number of its entry in the copy, or starts from 1 without
	// one.
	@Example
	void entriesWrittenAgainWithLowerNumbersAreApplied() {
		for (long restored : new long[] { 0, 5, 8 }) {
			FleetRegistry fleet = new FleetRegistry(this.clock);
			fleet.replace(Map.of(ID, runner(false, 1, 8)));
			fleet.replaceRestored((restored > 0) ? Map.of(ID, runner(false, 1, restored)) : Map.of());
			fleet.update(Map.of(ID, runner(true, 1, restored + 1)));
			this.clock.advance(Duration.ofSeconds(3));
			fleet.removeExpired();
			assertThat(fleet.snapshot().find(ID).orElseThrow().leaving()).as("restored %d", restored).isTrue();
		}
	}

	// Guards against layers of the past, which a runner may have given up since, taken
	// from its entry in the copy.
	@Example
	void entryInTheCopyDoesNotReplaceANewerOne() {
		ListedRunner before = new ListedRunner(ID, new Address("10.0.0.2", 80), "app", new DataCentreId("a"), 4, false,
				null, null, 1, 5);
		this.registry.replace(Map.of(ID, runner(false, 1, 8)));
		this.registry.replaceRestored(Map.of(ID, before));
		this.registry.replace(Map.of(ID, before));
		this.registry.replaceRestored(Map.of(ID, before));
		assertThat(this.registry.snapshot().find(ID).orElseThrow().address()).isEqualTo(new Address("10.0.0.1", 80));
	}

	// Guards against requests to runners that left after the copy was made.
	@Example
	void runnersThatHaveLeftStayLeftAfterARestore() {
		for (long heartbeats : new long[] { 0, 8 }) {
			FleetRegistry fleet = new FleetRegistry(this.clock);
			fleet.replace(Map.of(ID, runner(false, 1, heartbeats)));
			fleet.update(Collections.singletonMap(ID, null));
			fleet.replaceRestored(Map.of(ID, runner(false, 1, heartbeats)));
			this.clock.advance(Duration.ofSeconds(5));
			fleet.removeExpired();
			assertThat(fleet.snapshot().find(ID)).isEmpty();
		}
	}

	// Guards against requests to a runner that leaves, whose entry in the copy does not
	// say so.
	@Example
	void leavingRunnerStaysLeavingAfterARestore() {
		this.registry.replace(Map.of(ID, runner(true, 1, 8)));
		this.registry.replaceRestored(Map.of(ID, runner(false, 1, 5)));
		assertThat(leaving()).isTrue();
		this.registry.update(Map.of(ID, runner(false, 1, 7)));
		assertThat(leaving()).isTrue();
	}

	// Guards against a new runner that stays unused because it has registered while the
	// store was away.
	@Example
	void runnerThatIsNewInARestoredListIsListedAtOnce() {
		this.registry.replace(Map.of());
		assertThat(this.registry.replaceRestored(Map.of(ID, runner(false, 1, 1)))).isTrue();
		assertThat(listed()).isTrue();
	}

}
