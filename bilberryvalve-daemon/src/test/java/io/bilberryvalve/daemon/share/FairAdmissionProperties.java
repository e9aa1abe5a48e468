package io.bilberryvalve.daemon.share;

import java.time.Duration;
import java.util.Map;

import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.VmId;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

class FairAdmissionProperties {

	private static final Duration WARM_UP = Duration.ofSeconds(10);

	private static final Duration MEASURED = Duration.ofSeconds(30);

	private static final Map<String, Map<String, Double>> CLUBS = Map.of("quiet", Map.of("q", 1.0), "loud",
			Map.of("l", 1.0));

	// Guards requirement R8: a flood of one club at all entries must not delay the first
	// tokens of another club.
	@Property(seed = "31", tries = 5)
	void floodAtAllEntriesDoesNotDelayQuietClub(@ForAll @LongRange(max = 10_000) long seed) {
		assertQuiet(seed, -1);
	}

	// Guards requirement R8 when the flood arrives at a single entry, which takes streams
	// over from the others.
	@Property(seed = "32", tries = 5)
	void floodAtOneEntryDoesNotDelayQuietClub(@ForAll @LongRange(max = 10_000) long seed) {
		assertQuiet(seed, 0);
	}

	private static void assertQuiet(long seed, int floodEntry) {
		double alone = simulate(seed, floodEntry, 0).percentile95("q");
		ShareSimulation flooded = simulate(seed, floodEntry, 900);
		double ratio = flooded.percentile95("q") / alone;
		assertThat(ratio).isLessThanOrEqualTo(1.2);
	}

	// Guards against limits that together exceed the capacity while floods move between
	// entries and reports are lost, duplicated or delayed. The design bounds the sum of
	// the limits to 110 percent of the capacity and the running requests to 120 percent.
	@Property(seed = "33", tries = 10)
	void limitsStayNearCapacityWhileDemandMoves(@ForAll @LongRange(max = 10_000) long seed) {
		ShareSimulation simulation = new ShareSimulation(seed, 4, CLUBS);
		simulation.network.setFaults(0.2, 0.2, 100);
		simulation.run(Duration.ZERO, Duration.ofSeconds(2));
		for (int i = 0; i < 8; i++) {
			simulation.sources.clear();
			simulation.addSource("loud", "l", 900, 90, i % 4);
			simulation.addSource("quiet", "q", 200, 90, (i * 3 + 1) % 4);
			simulation.run(Duration.ZERO, Duration.ofSeconds(3));
		}
		assertThat(simulation.highestLimitSum).isLessThanOrEqualTo((int) (1.1 * ShareSimulation.STREAMS));
		assertThat(simulation.highestRunning).isLessThanOrEqualTo((int) (1.2 * ShareSimulation.STREAMS));
		assertThat(simulation.highestWaiting).isGreaterThan(0);
	}

	// Guards against an isolated entry that uses more than an equal share of the streams,
	// and against an absent entry whose streams remain unused for ever.
	@Example
	void isolatedEntryUsesEqualShareAndOthersTakeItOverLater() {
		ShareSimulation simulation = new ShareSimulation(5, 4, CLUBS);
		simulation.addSource("loud", "l", 900, 90, 0);
		simulation.run(Duration.ZERO, Duration.ofSeconds(10));
		VmId isolated = new VmId("vm-0");
		simulation.network.setPartition((a, b) -> a.equals(isolated) || b.equals(isolated));
		simulation.highestLimitSum = 0;
		simulation.run(Duration.ZERO, Duration.ofSeconds(9));
		AdmissionStatus alone = simulation.entries.get(0).status();
		assertThat(alone.isolated()).isTrue();
		assertThat(alone.limit()).isEqualTo(ShareSimulation.STREAMS / 4);
		assertThat(simulation.highestLimitSum).isLessThanOrEqualTo((int) (1.1 * ShareSimulation.STREAMS));
		simulation.run(Duration.ZERO, Duration.ofSeconds(4));
		int others = simulation.entries.stream().skip(1).mapToInt((entry) -> entry.status().limit()).sum();
		assertThat(others).isEqualTo(ShareSimulation.STREAMS);
		simulation.network.setPartition((a, b) -> false);
		simulation.highestLimitSum = 0;
		simulation.run(Duration.ofSeconds(2), Duration.ofSeconds(3));
		assertThat(simulation.entries.get(0).status().isolated()).isFalse();
		assertThat(simulation.highestLimitSum).isLessThanOrEqualTo((int) (1.1 * ShareSimulation.STREAMS));
	}

	private static ShareSimulation simulate(long seed, int floodEntry, double floodPerSecond) {
		ShareSimulation simulation = new ShareSimulation(seed, 4, CLUBS);
		simulation.addSource("quiet", "q", 30, 90, -1);
		if (floodPerSecond > 0) {
			simulation.addSource("loud", "l", floodPerSecond, 90, floodEntry);
		}
		simulation.run(WARM_UP, MEASURED);
		return simulation;
	}

	// Guards against idle streams: a single club at a single entry must be able to use 97
	// percent of the capacity. A stream produces 90 tokens per second, including the time
	// to its first token.
	@Example
	void oneBusyClubUsesCapacityOfQuietFederation() {
		ShareSimulation simulation = new ShareSimulation(3, 4, CLUBS);
		simulation.addSource("loud", "l", 400, 90, 2);
		simulation.run(WARM_UP, MEASURED);
		double bound = 90.0 * ShareSimulation.STREAMS * MEASURED.toSeconds();
		assertThat(tokens(simulation, "l") / bound).isGreaterThanOrEqualTo(0.97);
	}

	// Guards against shares that are measured in requests or streams instead of tokens,
	// and against shares that depend on the entry to which callers connect.
	@Property(seed = "34", tries = 5)
	void busyClubsAndTeamsGetTokensByWeight(@ForAll @LongRange(max = 10_000) long seed) {
		Map<String, Map<String, Double>> clubs = Map.of("a", Map.of("a1", 1.0, "a2", 3.0), "b",
				Map.of("b1", 1.0, "b2", 1.0, "b3", 2.0));
		ShareSimulation simulation = new ShareSimulation(seed, 4, clubs);
		simulation.addSource("a", "a1", 400, 40, 0);
		simulation.addSource("a", "a2", 200, 200, -1);
		simulation.addSource("b", "b1", 900, 20, 1);
		simulation.addSource("b", "b2", 60, 400, 2);
		simulation.addSource("b", "b3", 300, 90, -1);
		simulation.run(Duration.ofSeconds(20), Duration.ofSeconds(60));
		double a1 = tokens(simulation, "a1");
		double a2 = tokens(simulation, "a2") / 3;
		double b1 = tokens(simulation, "b1");
		double b2 = tokens(simulation, "b2");
		double b3 = tokens(simulation, "b3") / 2;
		assertThat(ShareSimulation.jain(a1 + 3 * a2, b1 + b2 + 2 * b3)).isGreaterThanOrEqualTo(0.99);
		assertThat(ShareSimulation.jain(a1, a2)).isGreaterThanOrEqualTo(0.99);
		assertThat(ShareSimulation.jain(b1, b2, b3)).isGreaterThanOrEqualTo(0.99);
	}

	private static double tokens(ShareSimulation simulation, String team) {
		return simulation.tokens.getOrDefault(new TeamId(team), 0L);
	}

	// Guards the required throughput of 97 percent of the capacity, both when the load
	// equals the capacity and when it is ten times as high.
	@Property(seed = "35", tries = 2)
	void usesCapacityAtFullLoadAndTenfoldLoad(@ForAll @LongRange(max = 10_000) long seed) {
		double bound = 90.0 * ShareSimulation.STREAMS * MEASURED.toSeconds();
		for (int load : new int[] { 1, 10 }) {
			ShareSimulation simulation = new ShareSimulation(seed, 4, CLUBS);
			simulation.addSource("loud", "l", 100 * load, 90, -1);
			simulation.addSource("quiet", "q", 100 * load, 90, -1);
			simulation.run(WARM_UP, MEASURED);
			assertThat((tokens(simulation, "l") + tokens(simulation, "q")) / bound).isGreaterThanOrEqualTo(0.97);
		}
	}

}
