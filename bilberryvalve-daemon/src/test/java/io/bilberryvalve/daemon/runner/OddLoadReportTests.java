package io.bilberryvalve.daemon.runner;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Random;

import io.bilberryvalve.config.ClubPart;
import io.bilberryvalve.config.FederationConfiguration;
import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.config.FederationPart.AcceleratorSpec;
import io.bilberryvalve.config.FederationPart.ModelSpec;
import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.model.AcceleratorKind;
import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.ModelId;
import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.PipelineId;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.chain.PlanKey;
import io.bilberryvalve.policy.choice.EstimatedLoadChooser;
import io.bilberryvalve.policy.choice.LoadReport;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class OddLoadReportTests {

	private static final ModelVersion MODEL = new ModelVersion(new ModelId("m"), "1");

	private static final ClubId CLUB = new ClubId("pavio");

	private static final long[] NUMBERS = { 0, 1, -1, Integer.MAX_VALUE, Integer.MIN_VALUE, Long.MAX_VALUE,
			Long.MIN_VALUE };

	private static final double[] FRACTIONS = { 0, -1, 1, Double.NaN, Double.POSITIVE_INFINITY,
			Double.NEGATIVE_INFINITY, Double.MAX_VALUE };

	// Guards against requests without a chain, and against plans that end with an
	// exception, after a runner has sent a report with odd numbers.
	@Property(tries = 300, seed = "71")
	void choosesAChainAfterOddReports(@ForAll long seed) {
		Random random = new Random(seed);
		ManualClock clock = new ManualClock();
		ConfigurationHolder configuration = new ConfigurationHolder();
		FederationPart part = new FederationPart(List.of(), List.of(),
				List.of(new ModelSpec(MODEL, 8, 1000, 1000, List.of())),
				List.of(new AcceleratorSpec(new AcceleratorKind("a"), 400, 4000)), List.of(),
				List.of(runner(1), runner(2)), List.of());
		ClubPart club = new ClubPart(CLUB, List.of(), List.of(), List.of(),
				List.of(new ClubPart.Pipeline(new PipelineId("notes"), MODEL, null, List.of(), 100)), List.of());
		configuration.setIfNewer(new FederationConfiguration(1, part, Map.of(CLUB, club)));
		RunnerFleet fleet = new RunnerFleet(clock, configuration, new EstimatedLoadChooser(2), (runner) -> false);
		fleet.replan();
		assertThat(fleet.choose(new PlanKey(MODEL, null), "prompt")).isPresent();
		for (int i = 0; i < 6; i++) {
			fleet.recordLoad(new LoadReport(new RunnerId("r" + (1 + random.nextInt(2))),
					Instant.ofEpochMilli(number(random)), Math.max(0, number(random)),
					Math.max(0, (int) number(random)), FRACTIONS[random.nextInt(FRACTIONS.length)],
					FRACTIONS[random.nextInt(FRACTIONS.length)], LoadReport.State.SERVING));
			fleet.replan();
			PlanKey key = new PlanKey(MODEL, null);
			assertThat(fleet.choose(key, "prompt")).isPresent();
			fleet.startWork(fleet.choose(key, "prompt").orElseThrow(), 5).end(true);
		}
	}

	private static long number(Random random) {
		return NUMBERS[random.nextInt(NUMBERS.length)];
	}

	private static Runner runner(int number) {
		return new Runner(new RunnerId("r" + number), new Address("127.0.0.1", number), new DataCentreId("dc"),
				new AcceleratorKind("a"), MODEL, new LayerRange(0, 8), true, null);
	}

}
