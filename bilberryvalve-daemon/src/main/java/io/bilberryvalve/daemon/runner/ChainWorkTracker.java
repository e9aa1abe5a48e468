package io.bilberryvalve.daemon.runner;

import java.time.Duration;
import java.time.Instant;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.Stage;

/**
 * Adds one stream to the load of the runners of its chain: one token position until the
 * stream ends, and the weighted token positions of the prompt until the first token.
 */
final class ChainWorkTracker implements ChainRouter.WorkTracker {

	private final RunnerFleet fleet;

	private final Chain chain;

	private final int promptTokens;

	private final RunnerSpeeds speeds;

	private final Instant start;

	private boolean prefilled;

	private boolean ended;

	ChainWorkTracker(RunnerFleet fleet, Chain chain, int promptTokens, RunnerSpeeds speeds) {
		this.fleet = fleet;
		this.chain = chain;
		this.promptTokens = promptTokens;
		this.speeds = speeds;
		this.start = fleet.now();
		addPrompt(1);
		addStream(1);
	}

	@Override
	public void onTokenDelivered() {
		if (!this.prefilled && !this.ended) {
			this.prefilled = true;
			addPrompt(-1);
		}
	}

	@Override
	public void end(boolean succeeded) {
		if (this.ended) {
			return;
		}
		onTokenDelivered();
		this.ended = true;
		addStream(-1);
		this.fleet.loadEstimator().recordResidence(Duration.between(this.start, this.fleet.now()));
		if (succeeded) {
			this.fleet.recordSuccess(this.chain);
		}
	}

	private void addStream(int sign) {
		for (Stage stage : this.chain.stages()) {
			this.fleet.loadEstimator().addOwnWork(stage.runner().id(), sign);
		}
	}

	private void addPrompt(int sign) {
		for (Stage stage : this.chain.stages()) {
			RunnerId runner = stage.runner().id();
			this.fleet.loadEstimator().addOwnWork(runner, sign * this.promptTokens * this.speeds.prefillWeight(runner));
		}
	}

}
