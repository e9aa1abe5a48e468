package io.bilberryvalve.policy.chain;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.bilberryvalve.model.RunnerId;

/**
 * A sequence of runners whose layer ranges follow each other without gap or overlap.
 *
 * @param stages the stages in order
 * @param seconds expected time for one token in seconds: queue, compute and links
 * @param tokensPerSecond share of the runners' capacity that the plan gives to this chain
 */
public record Chain(List<Stage> stages, double seconds, double tokensPerSecond) {

	/**
	 * Checks and copies the stages.
	 * @throws IllegalArgumentException if the chain is empty, does not start at layer 0,
	 * has a gap or an overlap, or uses a runner twice
	 */
	public Chain {
		stages = List.copyOf(stages);
		int next = 0;
		Set<RunnerId> seen = new HashSet<>();
		for (Stage stage : stages) {
			if (stage.layers().first() != next || !seen.add(stage.runner().id())) {
				throw new IllegalArgumentException("stage " + stage.runner().id() + " " + stage.layers()
						+ " does not continue the chain at layer " + next + " with a new runner");
			}
			next = stage.layers().end();
		}
		if (next == 0) {
			throw new IllegalArgumentException("a chain has at least one stage");
		}
	}

	/**
	 * Returns the first stage, which receives the request.
	 * @return the stage
	 */
	public Stage first() {
		return this.stages.get(0);
	}

	/**
	 * Returns the number of layers that the chain covers.
	 * @return number of layers
	 */
	public int layers() {
		return this.stages.get(this.stages.size() - 1).layers().end();
	}

	/**
	 * Tells whether the chain uses one of the given runners.
	 * @param runners the runners
	 * @return whether it uses one of them
	 */
	public boolean uses(Collection<RunnerId> runners) {
		for (Stage stage : this.stages) {
			if (runners.contains(stage.runner().id())) {
				return true;
			}
		}
		return false;
	}

}
