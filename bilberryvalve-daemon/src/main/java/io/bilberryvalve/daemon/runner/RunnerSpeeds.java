package io.bilberryvalve.daemon.runner;

import java.util.HashMap;
import java.util.Map;

import io.bilberryvalve.config.FederationPart;
import io.bilberryvalve.config.FederationPart.AcceleratorSpec;
import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;

/**
 * Immutable decode and prefill speeds of the runners of a configuration, in layers per
 * second.
 */
final class RunnerSpeeds {

	/** Assumed speed of runners with an undeclared kind of accelerator. */
	private static final double UNKNOWN_LAYERS_PER_SECOND = 100;

	private final Map<RunnerId, AcceleratorSpec> speeds = new HashMap<>();

	RunnerSpeeds(FederationPart part) {
		for (Runner runner : part.runners()) {
			AcceleratorSpec found = new AcceleratorSpec(runner.kind(), UNKNOWN_LAYERS_PER_SECOND,
					UNKNOWN_LAYERS_PER_SECOND);
			for (AcceleratorSpec spec : part.accelerators()) {
				found = spec.kind().equals(runner.kind()) ? spec : found;
			}
			this.speeds.put(runner.id(), found);
		}
	}

	double decodeLayersPerSecond(RunnerId runner) {
		AcceleratorSpec spec = this.speeds.get(runner);
		return (spec != null) ? spec.decodeLayersPerSecond() : UNKNOWN_LAYERS_PER_SECOND;
	}

	double prefillLayersPerSecond(RunnerId runner) {
		AcceleratorSpec spec = this.speeds.get(runner);
		return (spec != null) ? spec.prefillLayersPerSecond() : UNKNOWN_LAYERS_PER_SECOND;
	}

	/**
	 * Returns the weight of a prompt token relative to a decoded token.
	 * @param runner the runner
	 * @return ratio of the decode speed to the prefill speed
	 */
	double prefillWeight(RunnerId runner) {
		return decodeLayersPerSecond(runner) / prefillLayersPerSecond(runner);
	}

}
