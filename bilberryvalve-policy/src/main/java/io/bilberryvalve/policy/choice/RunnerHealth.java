package io.bilberryvalve.policy.choice;

import java.util.Collection;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.DoubleUnaryOperator;
import java.util.function.ToDoubleFunction;

import io.bilberryvalve.model.RunnerId;

/**
 * Tracks the health of runners as weights between 0 (avoided) and 1 (healthy), a gradual
 * form of outlier ejection. Each failure multiplies the weight by a fixed factor;
 * completed streams and answers to probes restore it. The total capacity removed is
 * limited to a fraction that the federation can spare: if more would be removed, every
 * removal is reduced by the same factor, because failures of very many runners rather
 * point to a fault of the observing entry. Safe for use by several threads, without
 * locks.
 */
public final class RunnerHealth {

	/** Factor by which a failure multiplies the weight. */
	private static final double FAILURE_FACTOR = 0.3;

	/** Fraction of the missing weight that a success restores. */
	private static final double RECOVERY_FRACTION = 0.3;

	/** Weight from which a runner counts as fully healthy. */
	private static final double HEALTHY_WEIGHT = 0.95;

	private final double maxRemovedFraction;

	private final Map<RunnerId, Double> weights = new ConcurrentHashMap<>();

	private final AtomicReference<Double> scale = new AtomicReference<>(1.0);

	/**
	 * Creates a tracker in which every runner has weight 1.
	 * @param spare fraction of the capacity that failures may remove, 0 to 1
	 * @throws IllegalArgumentException if the fraction is out of range
	 */
	public RunnerHealth(double spare) {
		if (!(spare >= 0 && spare <= 1)) {
			throw new IllegalArgumentException("the spare fraction must be between 0 and 1, not " + spare);
		}
		this.maxRemovedFraction = spare;
	}

	/**
	 * Records a failure.
	 * @param runner runner that failed
	 */
	public void recordFailure(RunnerId runner) {
		update(runner, (weight) -> weight * FAILURE_FACTOR);
	}

	/**
	 * Records a completed stream or an answer to a probe.
	 * @param runner runner that completed or answered
	 */
	public void recordSuccess(RunnerId runner) {
		if (this.weights.containsKey(runner)) {
			update(runner, (weight) -> weight + (1 - weight) * RECOVERY_FRACTION);
		}
	}

	/**
	 * Recomputes the factor that limits the removed capacity. It goes through all
	 * runners, so call it after changes and not for each request.
	 * @param runners runners among which the limit applies
	 * @param capacity capacity of a runner in layers per second
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
	 * Returns the weight of a runner after limiting the removed capacity.
	 * @param runner a runner, with or without failures
	 * @return the weight, 0 to 1
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
