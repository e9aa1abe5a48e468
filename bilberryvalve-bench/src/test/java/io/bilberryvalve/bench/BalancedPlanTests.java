package io.bilberryvalve.bench;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.bench.served.ServedFederation;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.BalancedChainPlanner;
import io.bilberryvalve.policy.chain.CapacityBound;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.Stage;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

import static org.assertj.core.api.Assertions.assertThat;

class BalancedPlanTests {

	private static final double THROUGHPUT_TARGET = 0.97;

	private static final double ROUNDING = 1e-6;

	// Guards against a plan that promises more than a runner can compute.
	@Property(seed = "31", tries = 20)
	void loadsNoRunnerBeyondItsSpeed(@ForAll @LongRange(min = 1, max = 1000) long seed,
			@ForAll @IntRange(min = 8, max = 60) int runners) {
		ServedFederation federation = ServedFederation.generate(runners, 3, seed);
		Map<RunnerId, Double> load = new HashMap<>();
		for (Chain chain : plan(federation)) {
			for (Stage stage : chain.stages()) {
				load.merge(stage.runner().id(), stage.layers().size() * chain.tokensPerSecond(), Double::sum);
			}
		}
		load.forEach((id, layers) -> assertThat(layers).isLessThanOrEqualTo(federation.speeds().get(id) + ROUNDING));
	}

	// Guards against capacity stranded on runners whose partners are exhausted.
	@Property(seed = "32", tries = 10)
	void reachesTheThroughputTarget(@ForAll @LongRange(min = 1, max = 1000) long seed) {
		ServedFederation federation = ServedFederation.generate(40, 3, seed);
		double bound = CapacityBound.tokensPerSecond(ServedFederation.LAYERS, federation.candidates());
		double planned = plan(federation).stream().mapToDouble(Chain::tokensPerSecond).sum();
		assertThat(planned / bound).isGreaterThanOrEqualTo(THROUGHPUT_TARGET);
	}

	private static List<Chain> plan(ServedFederation federation) {
		return new BalancedChainPlanner().plan(federation.model(), federation.candidates(), federation.links());
	}

}
