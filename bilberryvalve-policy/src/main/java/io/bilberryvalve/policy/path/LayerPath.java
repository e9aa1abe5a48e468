package io.bilberryvalve.policy.path;

import java.util.List;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;

/**
 * Runners that a request passes, in the order of the layers. Each layer of the model is
 * computed by exactly one of them. Immutable.
 *
 * @param hops runners with the layers that each of them computes for the request
 * @param firstTokenMillis expected time to the first token, in milliseconds
 * @param tokenMillis expected time for each further token, in milliseconds
 * @param eventMillis expected time between two events of the stream if no runner is
 * slower than its profile says, in milliseconds; 0 if it is not known
 */
public record LayerPath(List<Hop> hops, double firstTokenMillis, double tokenMillis, double eventMillis) {

	/**
	 * Validates that the hops follow each other without a gap.
	 * @throws IllegalArgumentException if a layer is missing or occurs twice
	 */
	public LayerPath {
		hops = List.copyOf(hops);
		int next = 0;
		for (Hop hop : hops) {
			if (hop.layers().first() != next) {
				throw new IllegalArgumentException(
						"a path must have each layer once, in order; expected a hop from layer " + next + ": " + hops);
			}
			next = hop.layers().end();
		}
	}

	/**
	 * Creates a path whose time between events is not known.
	 * @param hops runners with the layers that each of them computes for the request
	 * @param firstTokenMillis expected time to the first token, in milliseconds
	 * @param tokenMillis expected time for each further token, in milliseconds
	 */
	public LayerPath(List<Hop> hops, double firstTokenMillis, double tokenMillis) {
		this(hops, firstTokenMillis, tokenMillis, 0);
	}

	/**
	 * Returns the runner that receives the request.
	 * @return runner of the first hop
	 */
	public RunnerId firstRunner() {
		return this.hops.get(0).runner();
	}

	/**
	 * One runner of a path.
	 *
	 * @param runner identifier of the runner
	 * @param layers layers that it computes for the request, all or some of those it
	 * holds
	 * @param eventMillis its part of the expected time between two events, at the speed
	 * of its profile, in milliseconds
	 */
	public record Hop(RunnerId runner, LayerRange layers, double eventMillis) {

		/**
		 * Creates a hop whose part of the time between events is not known.
		 * @param runner identifier of the runner
		 * @param layers layers that it computes for the request
		 */
		public Hop(RunnerId runner, LayerRange layers) {
			this(runner, layers, 0);
		}

	}

}
