package io.bilberryvalve.policy.path;

import java.util.List;

import io.bilberryvalve.model.LayerRange;
import io.bilberryvalve.model.RunnerId;

/**
 * The runners that a request passes, in the order of the layers. Together they hold each
 * layer once.
 *
 * @param hops the runners with the layers that the request passes there
 * @param firstTokenMillis expected time to the first token
 * @param tokenMillis expected time of each further token
 */
public record LayerPath(List<Hop> hops, double firstTokenMillis, double tokenMillis) {

	/**
	 * Checks that the hops follow each other without a gap.
	 * @throws IllegalArgumentException if a layer is missing or passed twice
	 */
	public LayerPath {
		hops = List.copyOf(hops);
		int next = 0;
		for (Hop hop : hops) {
			if (hop.layers().first() != next) {
				throw new IllegalArgumentException("a path passes layer " + next + " not exactly once: " + hops);
			}
			next = hop.layers().end();
		}
	}

	/**
	 * Returns the runner that receives the request.
	 * @return the first runner
	 */
	public RunnerId firstRunner() {
		return this.hops.get(0).runner();
	}

	/**
	 * A runner on a path.
	 *
	 * @param runner the runner
	 * @param layers the layers that the request passes there
	 */
	public record Hop(RunnerId runner, LayerRange layers) {

	}

}
