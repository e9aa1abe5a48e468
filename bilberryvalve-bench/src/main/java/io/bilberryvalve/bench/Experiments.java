package io.bilberryvalve.bench;

import java.util.List;

/**
 * All experiments.
 */
final class Experiments {

	private Experiments() {
	}

	static List<Experiment> all() {
		return List.of(new DecisionTime(), new Throughput(), new Recovery(), new Rolling(), new Control(),
				new ConfigurationSize());
	}

}
