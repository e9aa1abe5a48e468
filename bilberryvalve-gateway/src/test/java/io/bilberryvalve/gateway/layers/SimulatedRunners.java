package io.bilberryvalve.gateway.layers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.gateway.fleet.FleetRegistry;
import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Simulates runners that check fencing numbers and numbers of accepted orders as engines
 * do. A test can make orders go unanswered and take effect late.
 */
final class SimulatedRunners implements LayerOrders {

	private final FleetRegistry registry;

	private final Map<RunnerId, Engine> engines = new HashMap<>();

	private final List<Runnable> late = new ArrayList<>();

	private boolean unanswered;

	private int orders;

	SimulatedRunners(FleetRegistry registry) {
		this.registry = registry;
	}

	void refuse(RunnerId runner) {
		this.engines.get(runner).refuses = true;
	}

	void delayOrders(boolean delay) {
		this.unanswered = delay;
	}

	void carryOutLateOrders() {
		List<Runnable> due = List.copyOf(this.late);
		this.late.clear();
		due.forEach(Runnable::run);
		publish();
	}

	int orders() {
		return this.orders;
	}

	void list(List<ListedRunner> runners) {
		Map<RunnerId, ListedRunner> listed = new HashMap<>();
		runners.forEach((runner) -> listed.put(runner.id(), runner));
		this.engines.keySet().retainAll(listed.keySet());
		runners.forEach((runner) -> this.engines.computeIfAbsent(runner.id(), (id) -> new Engine(runner)));
		publish();
	}

	private void publish() {
		Map<RunnerId, ListedRunner> listed = new HashMap<>();
		this.engines.forEach((id, engine) -> listed.put(id, engine.listed()));
		this.registry.replace(listed);
	}

	@Override
	public CompletionStage<Answer> sendOrder(ListedRunner runner, LayerRange range, long fencing, long accepted) {
		this.orders++;
		Engine engine = this.engines.get(runner.id());
		if (engine == null) {
			return CompletableFuture.completedFuture(Answer.REFUSED);
		}
		if (this.unanswered) {
			this.late.add(() -> engine.order(range, fencing, accepted));
			return CompletableFuture.completedFuture(Answer.UNKNOWN);
		}
		Answer answer = engine.order(range, fencing, accepted);
		publish();
		return CompletableFuture.completedFuture(answer);
	}

	@Override
	public CompletionStage<@Nullable EngineState> fetchState(ListedRunner runner) {
		Engine engine = this.engines.get(runner.id());
		return CompletableFuture
			.completedFuture((engine != null) ? new EngineState(false, engine.accepted, engine.layers) : null);
	}

	/** Engine of one runner. */
	private static final class Engine {

		private final ListedRunner base;

		private long fencing;

		private long accepted;

		private boolean refuses;

		private @Nullable LayerRange layers;

		Engine(ListedRunner base) {
			this.base = base;
			this.layers = base.layers();
		}

		Answer order(LayerRange range, long number, long expected) {
			if (number < this.fencing) {
				return Answer.SUPERSEDED;
			}
			if (this.refuses || expected != this.accepted) {
				return Answer.CONFLICT;
			}
			this.fencing = number;
			this.accepted++;
			this.layers = range;
			return Answer.ACCEPTED;
		}

		ListedRunner listed() {
			return new ListedRunner(this.base.id(), this.base.address(), this.base.service(), this.base.dataCentre(),
					this.base.slots(), this.base.leaving(), this.base.card(), this.layers, this.base.startedMillis(),
					this.base.heartbeats());
		}

	}

}
