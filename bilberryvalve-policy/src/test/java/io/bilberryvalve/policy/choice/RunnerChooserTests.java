package io.bilberryvalve.policy.choice;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.stream.IntStream;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class RunnerChooserTests {

	private static final RunnerId RUNNER = new RunnerId("r1");

	// Guards against herding: with reports that are one to two seconds old, the mean
	// delay must be lower than with any chooser that ignores the reports or relies on
	// them alone.
	@Property(seed = "51", tries = 8)
	void waitsLessThanTheBaselinesOnStaleReports(@ForAll @IntRange(max = 1000) int seed,
			@ForAll @IntRange(min = 4, max = 16) int entries) {
		double fused = delay(seed, entries, new EstimatedLoadChooser(4));
		List<RunnerChooser> baselines = List.of(new RandomChooser(), new RoundRobinChooser(),
				new LeastOutstandingChooser(), new TwoChoicesChooser(), new LeastReportedChooser());
		for (RunnerChooser baseline : baselines) {
			assertThat(fused).as(baseline.getClass().getSimpleName()).isLessThan(delay(seed, entries, baseline));
		}
	}

	// Guards against runners that are idle while requests wait at others: at load 1 the
	// throughput must reach 0.97 of the capacity.
	@Property(seed = "52", tries = 8)
	void usesTheCapacityAtFullLoad(@ForAll @IntRange(max = 1000) int seed) {
		FleetSimulation full = new FleetSimulation(seed, 40, 4).run(new EstimatedLoadChooser(4), 1.0, 60);
		assertThat(full.served / full.capacity).isGreaterThanOrEqualTo(0.97);
	}

	// Guards against counting own work twice: once in the report and once as own work.
	@Example
	void countsOnlyWorkAfterTheReport() {
		ManualClock clock = new ManualClock(Instant.ofEpochSecond(100));
		RunnerLoadEstimator loads = new RunnerLoadEstimator(clock);
		loads.addOwnWork(RUNNER, 3);
		clock.advance(Duration.ofMillis(500));
		Instant observed = clock.instant();
		clock.advance(Duration.ofMillis(500));
		loads.addOwnWork(RUNNER, 2);
		loads.report(report(observed, 7), 1);
		// 5 own positions, and 4 of others with the weight exp(-4 * 0.5 s / 1 s).
		assertThat(loads.estimatedPositions(RUNNER)).isCloseTo(5 + 4 * Math.exp(-2), within(1e-9));
		loads.addOwnWork(RUNNER, -1);
		assertThat(loads.estimatedPositions(RUNNER)).isCloseTo(4 + 4 * Math.exp(-2), within(1e-9));
		assertThat(loads.outstandingPositions(RUNNER)).isEqualTo(4);
	}

	// Guards against an older report that arrives late and replaces a newer one.
	@Example
	void ignoresAnOlderReport() {
		RunnerLoadEstimator loads = new RunnerLoadEstimator(new ManualClock(Instant.ofEpochSecond(100)));
		loads.report(report(Instant.ofEpochSecond(99), 5), 1);
		loads.report(report(Instant.ofEpochSecond(98), 50), 1);
		assertThat(loads.reportedPositions(RUNNER)).isEqualTo(5);
	}

	// Guards against removing more capacity than the federation can spare when an entry
	// fails to reach most runners.
	@Example
	void limitsTheCapacityThatFailuresRemove() {
		RunnerHealth health = new RunnerHealth(0.25);
		List<RunnerId> runners = IntStream.range(0, 10).mapToObj((i) -> new RunnerId("r" + i)).toList();
		runners.forEach((runner) -> IntStream.range(0, 9).forEach((i) -> health.recordFailure(runner)));
		health.limitRemovedCapacity(runners, (runner) -> 1);
		assertThat(runners.stream().mapToDouble(health::weight).sum()).isCloseTo(7.5, within(0.01));
		runners.forEach((runner) -> IntStream.range(0, 20).forEach((i) -> health.recordSuccess(runner)));
		assertThat(runners.stream().mapToDouble(health::weight).sum()).isEqualTo(10);
	}

	// Guards against a runner that stays preferred for ever because an event was lost,
	// and against an index that grows without bound.
	@Example
	void forgetsPrefixesByAgeAndNumber() {
		ManualClock clock = new ManualClock();
		PrefixIndex index = new PrefixIndex(clock, Duration.ofSeconds(10), 2);
		index.recordStored(RUNNER, "a");
		assertThat(index.cachedBlocks(RUNNER, List.of("a", "b"), 1)).isEqualTo(1);
		clock.advance(Duration.ofSeconds(11));
		assertThat(index.cachedBlocks(RUNNER, List.of("a", "b"), 1)).isZero();
		index.recordStored(RUNNER, "b");
		index.recordStored(RUNNER, "c");
		assertThat(index.holders("a")).isEmpty();
		index.recordRemoved(RUNNER, "c");
		assertThat(index.holders("c")).isEmpty();
	}

	private static double delay(int seed, int entries, RunnerChooser chooser) {
		FleetSimulation simulation = new FleetSimulation(seed, 40, entries).run(chooser, 0.9, 60);
		return simulation.delaySum / simulation.finished;
	}

	private static LoadReport report(Instant observed, int running) {
		return new LoadReport(RUNNER, observed, running, running, 0, 1, LoadReport.State.SERVING);
	}

}
