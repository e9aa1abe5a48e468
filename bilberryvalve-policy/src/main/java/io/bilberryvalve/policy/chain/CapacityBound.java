package io.bilberryvalve.policy.chain;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Computes an upper bound of the tokens per second that runners can deliver for a model.
 * <p>
 * Each token needs each layer once, so at a rate of T tokens per second each layer takes
 * T layer computations per second from the runners that hold it. A runner can divide its
 * layers per second freely among the layers that it holds. The bound is the largest T for
 * which the demand of every layer can be served. For a given T this is decided exactly by
 * going through the layers in order and using first the capacity of the runner whose
 * range ends first, because it has the fewest later layers to serve. The largest T is
 * found by bisection. Links and queues only add latency and have no influence on the
 * bound; prefill work is not counted.
 */
public final class CapacityBound {

	private static final int BISECTIONS = 60;

	/** Relative tolerance for rounding errors when capacity is subtracted. */
	private static final double ROUNDING = 1e-12;

	private CapacityBound() {
	}

	/**
	 * Computes the bound.
	 * @param layers number of layers of the model, positive
	 * @param candidates runners with their layers and speeds
	 * @return tokens per second; 0 if the runners do not cover the model
	 */
	public static double tokensPerSecond(int layers, Collection<Candidate> candidates) {
		double high = candidates.stream().mapToDouble(Candidate::layersPerSecond).sum() / layers;
		double low = 0;
		for (int i = 0; i < BISECTIONS; i++) {
			double middle = (low + high) / 2;
			if (feasible(layers, candidates, middle)) {
				low = middle;
			}
			else {
				high = middle;
			}
		}
		return low;
	}

	private static boolean feasible(int layers, Collection<Candidate> candidates, double rate) {
		List<RemainingCapacity> runners = new ArrayList<>();
		candidates.forEach((candidate) -> runners.add(new RemainingCapacity(candidate)));
		runners.sort(Comparator.comparingInt((runner) -> runner.candidate.runner().layers().end()));
		for (int layer = 0; layer < layers; layer++) {
			double missing = rate;
			for (RemainingCapacity runner : runners) {
				missing -= runner.take(layer, missing);
			}
			if (missing > rate * ROUNDING) {
				return false;
			}
		}
		return true;
	}

	private static final class RemainingCapacity {

		private final Candidate candidate;

		private double capacity;

		RemainingCapacity(Candidate candidate) {
			this.candidate = candidate;
			this.capacity = candidate.layersPerSecond();
		}

		double take(int layer, double wanted) {
			boolean holds = this.candidate.runner().layers().first() <= layer
					&& layer < this.candidate.runner().layers().end();
			double taken = holds ? Math.min(wanted, this.capacity) : 0;
			this.capacity -= taken;
			return taken;
		}

	}

}
