package io.bilberryvalve.policy.outcome;

import java.util.List;

/**
 * A token of a reply, as reported by an engine. Immutable.
 *
 * @param epoch attempt epoch that produced the token, from 1
 * @param index token index, from 0
 * @param text text of the token
 * @param trace layers that were computed for the token, in the order of computation
 * @param last whether the reply ends with this token
 */
public record TokenEvent(int epoch, int index, String text, List<LayerStep> trace, boolean last) {

	/**
	 * Copies the trace.
	 */
	public TokenEvent {
		trace = List.copyOf(trace);
	}

	/**
	 * Returns whether the trace covers the layers of a model exactly once and in order.
	 * @param layers number of layers of the model
	 * @return whether the first step starts at layer 0, each step starts where the
	 * previous one ended, and the last step ends with the last layer
	 */
	public boolean traceCovers(int layers) {
		int next = 0;
		for (LayerStep step : this.trace) {
			if (step.layers().first() != next) {
				return false;
			}
			next = step.layers().end();
		}
		return next == layers;
	}

}
