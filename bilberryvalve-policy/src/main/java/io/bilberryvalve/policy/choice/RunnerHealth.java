package io.bilberryvalve.policy.choice;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.DoubleUnaryOperator;
import java.util.function.ToDoubleFunction;

import io.bilberryvalve.model.RunnerId;

/**
 * Weights of runners between 0 and 1. Each failure lowers a weight in proportion; answers
 * to probes restore it. The total capacity removed is bounded by what the federation can
 * spare: if more would be removed, every removal is reduced by the same factor, because
 * failures of very many runners rather point to a fault of the observer. Safe for use by
 * several threads, without locks.
 */
public final class RunnerHealth {

	/** Factor by which a failure lowers a weight. */
	private static final double FAILURE_FACTOR = 0.3;

	/** Part of the missing weight that a success restores. */
	private static final double RECOVERY_FRACTION = 0.3;

	/** Weight above which a runner counts as fully healthy. */
	private static final double HEALTHY_WEIGHT = 0.95;

	private final double maxRemovedFraction;

	private final Map<RunnerId, Double> weights = new ConcurrentHashMap<>();

	private final AtomicReference<Double> scale = new AtomicReference<>(1.0);

	/**
	 * Creates weights of 1.
	 * @param spare part of the capacity that may be removed, 0 to 1
	 * @throws IllegalArgumentException if the part is out of range
	 */
	public RunnerHealth(double spare) {
		if (!(spare >= 0 && spare <= 1)) {
			throw new IllegalArgumentException("the spare part must be between 0 and 1, not " + spare);
		}
		this.maxRemovedFraction = spare;
	}

	/**
	 * Notes a failure.
	 * @param runner the runner
	 */
	public void recordFailure(RunnerId runner) {
		update(runner, (weight) -> weight * FAILURE_FACTOR);
	}

	/**
	 * Notes a completed stream or an answer to a probe.
	 * @param runner the runner
	 */
	public void recordSuccess(RunnerId runner) {
		if (this.weights.containsKey(runner)) {
			update(runner, (weight) -> weight + (1 - weight) * RECOVERY_FRACTION);
		}
	}

	/**
	 * Computes how much of the removed weight the federation can spare. Call it after
	 * changes, outside the path of requests.
	 * @param runners all runners of a model
	 * @param capacity capacity of a runner in layers a second
	 */
	public void limitRemovedCapacity(Collection<RunnerId> runners, ToDoubleFunction<RunnerId> capacity) {
		double total = 0;
		double removed = 0;
		for (RunnerId runner : runners) {
			double size = capacity.applyAsDouble(runner);
			total += size;
			removed += size * (1 - this.weights.getOrDefault(runner, 1.0));
		}
		double allowed = this.maxRemovedFraction * total;
		this.scale.set((removed > allowed) ? allowed / removed : 1.0);
	}

	/**
	 * Returns the weight of a runner.
	 * @param runner the runner
	 * @return weight, 0 to 1
	 */
	public double weight(RunnerId runner) {
		Double weight = this.weights.get(runner);
		return (weight != null) ? 1 - (1 - weight) * this.scale.get() : 1;
	}

	private void update(RunnerId runner, DoubleUnaryOperator change) {
		this.weights.compute(runner, (id, weight) -> {
			double next = change.applyAsDouble((weight != null) ? weight : 1);
			return (next < HEALTHY_WEIGHT) ? next : null;
		});
	}

}
