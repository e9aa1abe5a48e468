package io.bilberryvalve.gateway.fleet;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.path.RequestSize;
import io.bilberryvalve.policy.path.RunnerLoad;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class LoadTrackerProperties {

	private static final List<String> DAEMONS = List.of("d1", "d2", "d3", "d4");

	private static final int RUNNERS = 6;

	private static final long LIFETIME_MILLIS = 2500;

	private static RunnerId runner(int number) {
		return new RunnerId("r" + number);
	}

	// Guards against a sum that drifts away from the reports that it is made of.
	@Property(tries = 200, seed = "271828")
	void loadOfOthersIsTheSumOfTheirLastReports(@ForAll Random random) {
		ManualClock clock = new ManualClock();
		LoadTracker tracker = new LoadTracker(clock);
		Map<String, Map<RunnerId, RunnerLoad>> last = new HashMap<>();
		Map<String, Long> at = new HashMap<>();
		for (int step = 0; step < 40; step++) {
			if (random.nextInt(4) == 0) {
				clock.advance(Duration.ofMillis(random.nextInt(1500)));
			}
			String daemon = DAEMONS.get(random.nextInt(DAEMONS.size()));
			Map<RunnerId, RunnerLoad> report = randomReport(random);
			tracker.applyReport(daemon, report);
			last.put(daemon, report);
			at.put(daemon, clock.millis());
			tracker.removeExpired();
			last.keySet().removeIf((name) -> clock.millis() - at.get(name) > LIFETIME_MILLIS);
			for (int i = 0; i < RUNNERS; i++) {
				RunnerId id = runner(i);
				RunnerLoad expected = last.values()
					.stream()
					.map((load) -> load.getOrDefault(id, RunnerLoad.NONE))
					.reduce(RunnerLoad.NONE, RunnerLoad::plus);
				assertThat(tracker.of(id)).isEqualTo(expected);
			}
		}
	}

	// Numbers may be odd, since they come from other processes.
	private static Map<RunnerId, RunnerLoad> randomReport(Random random) {
		Map<RunnerId, RunnerLoad> report = new HashMap<>();
		for (int i = 0; i < RUNNERS; i++) {
			if (random.nextBoolean()) {
				report.put(runner(i), new RunnerLoad(random.nextInt(5) - 1, random.nextInt(3), random.nextInt(3),
						(random.nextInt(9) == 0) ? Long.MAX_VALUE : random.nextInt(3)));
			}
		}
		return report;
	}

	@Example
	void ownLoadIsAddedToThatOfOthers() {
		LoadTracker tracker = new LoadTracker(new ManualClock());
		tracker.add(List.of(new LoadTracker.PathSegment(runner(1), 2)), new RequestSize(10, 5));
		tracker.applyReport("d1", Map.of(runner(1), new RunnerLoad(1, 4, 1, 4)));
		assertThat(tracker.of(runner(1))).isEqualTo(new RunnerLoad(2, 34, 2, 24));
		assertThat(tracker.ownLoads()).containsOnlyKeys(runner(1));
	}

}
