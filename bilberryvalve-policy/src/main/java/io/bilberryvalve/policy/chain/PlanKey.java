package io.bilberryvalve.policy.chain;

import io.bilberryvalve.model.ModelVersion;
import io.bilberryvalve.model.Runner;
import org.jspecify.annotations.Nullable;

/**
 * What the runners of a chain have to provide.
 *
 * @param model the model version
 * @param adapter the adapter, or {@code null} for none
 */
public record PlanKey(ModelVersion model, @Nullable String adapter) {

	/**
	 * Tells whether a runner provides this. A runner with an adapter also serves requests
	 * without one.
	 * @param runner the runner
	 * @return whether it holds the model version and the adapter
	 */
	public boolean matches(Runner runner) {
		return runner.model().equals(this.model) && (this.adapter == null || this.adapter.equals(runner.adapter()));
	}

}
