package io.bilberryvalve.daemon.order;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Runner;
import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.lease.FencingNumber;

/**
 * Simulates engines that execute orders immediately and check fencing numbers if they are
 * configured to. On request, the reply to the next order is lost, or engines do not
 * report what they have loaded.
 */
final class SimulatedEngines implements EngineOrderClient {

	final Map<RunnerId, LoadedModel> holdings = new HashMap<>();

	final List<String> executed = new ArrayList<>();

	private final Map<RunnerId, Long> fencing = new HashMap<>();

	boolean loseAnswer;

	boolean silentAboutHolding;

	@Override
	public CompletionStage<Reply> orderLoad(Runner runner, FencingNumber number, LoadedModel wanted, Duration timeout) {
		long before = this.fencing.getOrDefault(runner.id(), 0L);
		if (runner.checksFencing() && number.value() < before) {
			return CompletableFuture.completedFuture(new Reply.Fenced());
		}
		this.fencing.put(runner.id(), Math.max(before, number.value()));
		this.holdings.put(runner.id(), wanted);
		this.executed.add(runner.id() + " " + wanted.model());
		Reply reply = this.loseAnswer ? new Reply.Failed("answer lost") : new Reply.Done();
		this.loseAnswer = false;
		return CompletableFuture.completedFuture(reply);
	}

	@Override
	public CompletionStage<Optional<LoadedModel>> fetchLoadedModel(Runner runner, Duration timeout) {
		return CompletableFuture.completedFuture(
				this.silentAboutHolding ? Optional.empty() : Optional.ofNullable(this.holdings.get(runner.id())));
	}

}
