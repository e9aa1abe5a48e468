package io.bilberryvalve.daemon.share;

import java.time.Duration;
import java.util.Map;

import io.bilberryvalve.model.TeamId;
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

	// Guards R8: a flood at all entries must not delay the first token of the other club.
	@Property(seed = "31", tries = 3)
	void floodAtAllEntriesDoesNotDelayQuietClub(@ForAll @LongRange(max = 10_000) long seed) {
		assertQuiet(seed, -1);
	}

	// Guards R8 when the flood arrives at one entry and takes streams from the others.
	@Property(seed = "32", tries = 3)
	void floodAtOneEntryDoesNotDelayQuietClub(@ForAll @LongRange(max = 10_000) long seed) {
		assertQuiet(seed, 0);
	}

	private static void assertQuiet(long seed, int floodEntry) {
		double alone = simulate(seed, floodEntry, 0).percentile95("q");
		ShareSimulation flooded = simulate(seed, floodEntry, 900);
		double ratio = flooded.percentile95("q") / alone;
		System.out.println("SIM " + floodEntry + " alone=" + alone + " ratio=" + ratio + " limit="
				+ flooded.highestLimitSum + " running=" + flooded.highestRunning + " tokens=" + flooded.tokens
				+ " waiting=" + flooded.highestWaiting);
		assertThat(ratio).isLessThanOrEqualTo(1.2);
	}

	private static ShareSimulation simulate(long seed, int floodEntry, double floodPerSecond) {
		ShareSimulation simulation = new ShareSimulation(seed, 4, CLUBS);
		simulation.source("quiet", "q", 30, 90, -1);
		if (floodPerSecond > 0) {
			simulation.source("loud", "l", floodPerSecond, 90, floodEntry);
		}
		simulation.run(WARM_UP, MEASURED);
		return simulation;
	}

	// Guards against shares by requests or streams instead of token cost, and against
	// shares that depend on the entry that callers use.
	@Example
	void busyClubsAndTeamsGetTokensByWeight() {
		Map<String, Map<String, Double>> clubs = Map.of("a", Map.of("a1", 1.0, "a2", 3.0), "b",
				Map.of("b1", 1.0, "b2", 1.0, "b3", 2.0));
		ShareSimulation simulation = new ShareSimulation(7, 4, clubs);
		simulation.source("a", "a1", 400, 40, 0);
		simulation.source("a", "a2", 200, 200, -1);
		simulation.source("b", "b1", 900, 20, 1);
		simulation.source("b", "b2", 60, 400, 2);
		simulation.source("b", "b3", 300, 90, -1);
		simulation.run(Duration.ofSeconds(20), Duration.ofSeconds(60));
		double a1 = tokens(simulation, "a1");
		double a2 = tokens(simulation, "a2") / 3;
		double b1 = tokens(simulation, "b1");
		double b2 = tokens(simulation, "b2");
		double b3 = tokens(simulation, "b3") / 2;
		System.out.println("SIM tokens=" + simulation.tokens + " jain a=" + ShareSimulation.jain(a1, a2) + " b="
				+ ShareSimulation.jain(b1, b2, b3) + " clubs=" + ShareSimulation.jain(a1 + 3 * a2, b1 + b2 + 2 * b3));
		assertThat(ShareSimulation.jain(a1 + 3 * a2, b1 + b2 + 2 * b3)).isGreaterThanOrEqualTo(0.99);
		assertThat(ShareSimulation.jain(a1, a2)).isGreaterThanOrEqualTo(0.99);
		assertThat(ShareSimulation.jain(b1, b2, b3)).isGreaterThanOrEqualTo(0.99);
	}

	private static double tokens(ShareSimulation simulation, String team) {
		return simulation.tokens.getOrDefault(new TeamId(team), 0L);
	}

}
