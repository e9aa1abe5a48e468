package io.bilberryvalve.gateway.feed;

import java.time.Duration;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the daemons of one data centre, on simulated time, with 101 runners that renew
 * their entries. The bounds are those of {@code docs/design/overview.md}.
 */
class RowsOfAFleetTests {

	private static final int DAEMONS = 31;

	private static final Duration SETTLING = Duration.ofSeconds(20);

	/** Time within which each daemon knows a change. */
	private static final Duration QUICK = Duration.ofSeconds(1);

	private static final double MOST_CALLS_PER_SECOND = 0.7;

	private static SimulatedFleet settled(boolean delegatesInUse, int seed) {
		SimulatedFleet fleet = new SimulatedFleet(DAEMONS, delegatesInUse, seed);
		fleet.advance(SETTLING);
		return fleet;
	}

	private static double callsPerSecond(SimulatedFleet fleet, Duration time) {
		int before = fleet.store().calls();
		fleet.advance(time);
		return (fleet.store().calls() - before) / (double) DAEMONS / time.toSeconds();
	}

	// Guards against calls to the store that grow with the number of daemons. The same
	// daemons without delegates show that the simulation counts them.
	@Example
	void followersHardlyCallTheStore() {
		double with = callsPerSecond(settled(true, 1), Duration.ofMinutes(1));
		double without = callsPerSecond(settled(false, 1), Duration.ofMinutes(1));
		assertThat(with).isLessThan(MOST_CALLS_PER_SECOND);
		assertThat(with).isLessThan(without);
	}

	@Property(tries = 6, seed = "11")
	void changesAreKnownSoon(@ForAll @IntRange(min = 0, max = 1000) int offset) {
		SimulatedFleet fleet = settled(true, offset);
		fleet.advance(Duration.ofMillis(offset));
		fleet.store().write(SimulatedFleet.OPERATOR, "config", "2/0");
		fleet.store().write(SimulatedFleet.RUNNERS, "x", "draining/0");
		fleet.advance(QUICK);
		assertThat(fleet.lacking(SimulatedFleet.OPERATOR, "config", "2")).isEmpty();
		assertThat(fleet.lacking(SimulatedFleet.RUNNERS, "x", "draining")).isEmpty();
	}

	// Guards against a change that is missed for long because the reader is lost when it
	// is written.
	@Property(tries = 6, seed = "12")
	void changesAreKnownInTimeWhenTheFirstDelegateIsLost(@ForAll @IntRange(min = 0, max = 1000) int offset) {
		SimulatedFleet fleet = settled(true, offset);
		fleet.advance(Duration.ofMillis(offset));
		fleet.daemon(0).lose();
		assertChangeIsKnownInTime(fleet);
	}

	@Property(tries = 6, seed = "13")
	void changesAreKnownInTimeWhenBothDelegatesAreLost(@ForAll @IntRange(min = 0, max = 1000) int offset) {
		SimulatedFleet fleet = settled(true, offset);
		fleet.advance(Duration.ofMillis(offset));
		fleet.daemon(0).lose();
		fleet.daemon(1).lose();
		assertChangeIsKnownInTime(fleet);
	}

	// Guards against a delegate that keeps its followers on the rows from before it was
	// cut off from the store. The delegate itself learns the change from the second one.
	@Property(tries = 6, seed = "14")
	void changesAreKnownInTimeWhenTheFirstDelegateIsCutOffFromTheStore(
			@ForAll @IntRange(min = 0, max = 1000) int offset) {
		SimulatedFleet fleet = settled(true, offset);
		fleet.advance(Duration.ofMillis(offset));
		fleet.daemon(0).link().cut();
		assertChangeIsKnownInTime(fleet);
		assertThat(fleet.daemon(0).reachesStore()).isFalse();
		fleet.daemon(0).link().restore();
		fleet.advance(Duration.ofSeconds(5));
		assertThat(fleet.daemon(0).reachesStore()).isTrue();
	}

	private static void assertChangeIsKnownInTime(SimulatedFleet fleet) {
		fleet.store().write(SimulatedFleet.OPERATOR, "config", "2/0");
		fleet.store().write(SimulatedFleet.RUNNERS, "x", "draining/0");
		fleet.advance(SimulatedFleet.BOUND);
		assertThat(fleet.lacking(SimulatedFleet.OPERATOR, "config", "2")).isEmpty();
		assertThat(fleet.lacking(SimulatedFleet.RUNNERS, "x", "draining")).isEmpty();
	}

	// Guards against a fleet that stays with the store after a loss of its delegates.
	@Example
	void callsAreFewAgainAfterALoss() {
		SimulatedFleet fleet = settled(true, 3);
		fleet.daemon(0).lose();
		fleet.daemon(1).lose();
		fleet.advance(SETTLING);
		assertThat(callsPerSecond(fleet, Duration.ofMinutes(1))).isLessThan(MOST_CALLS_PER_SECOND);
	}

	// Guards against a daemon that counts as reaching the store because a delegate does.
	@Example
	void followerThatIsCutOffKeepsItsRows() {
		SimulatedFleet fleet = settled(true, 4);
		fleet.daemon(9).link().cut();
		fleet.advance(Duration.ofSeconds(20));
		fleet.store().write(SimulatedFleet.OPERATOR, "config", "2/0");
		fleet.advance(QUICK);
		assertThat(fleet.lacking(SimulatedFleet.OPERATOR, "config", "2")).isEmpty();
	}

}
