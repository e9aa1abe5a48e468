package io.bilberryvalve.policy.chain;

import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import org.jspecify.annotations.Nullable;

/**
 * Model version and adapter for which chains are planned; each runner of the chain has to
 * hold both.
 *
 * @param model model version that the runners hold
 * @param adapter name of the adapter, or {@code null} for none
 */
public record PlanKey(ModelVersion model, @Nullable String adapter) {

	/**
	 * Tells whether a runner can be part of the chains for this key. A runner with an
	 * adapter also serves requests without one.
	 * @param runner runner with its model version and adapter
	 * @return whether it holds the model version and the adapter
	 */
	public boolean matches(Runner runner) {
		return runner.model().equals(this.model) && (this.adapter == null || this.adapter.equals(runner.adapter()));
	}

}
