package io.bilberryvalve.policy.chain;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.bilberryvalve.model.RunnerId;

/**
 * Immutable sequence of runners that compute consecutive layers of a model, without gap
 * or overlap.
 *
 * @param stages stages in layer order
 * @param seconds expected time for one token in seconds: queue, compute and links
 * @param tokensPerSecond rate that the plan assigns to this chain, in tokens per second
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
	 * @return the stage that starts at layer 0
	 */
	public Stage first() {
		return this.stages.get(0);
	}

	/**
	 * Returns the number of layers that the chain covers.
	 * @return number of layers, the end of the last stage
	 */
	public int layers() {
		return this.stages.get(this.stages.size() - 1).layers().end();
	}

	/**
	 * Tells whether the chain uses one of the given runners.
	 * @param runners ids to look for; a set makes the search fast
	 * @return whether at least one stage runs on one of them
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
