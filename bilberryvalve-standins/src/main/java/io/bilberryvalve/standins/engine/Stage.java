package io.bilberryvalve.standins.engine;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.LayerRange;

/**
 * A stage of a chain as it is sent over the wire.
 *
 * @param runner the runner
 * @param address its address, {@code host:port}
 * @param first first layer, inclusive
 * @param end last layer, exclusive
 */
public record Stage(String runner, String address, int first, int end) {

	/**
	 * Checks the stage.
	 * @throws IllegalArgumentException if the runner is missing, the address is malformed
	 * or the range is empty
	 */
	public Stage {
		if (runner == null || address == null) {
			throw new IllegalArgumentException("a stage needs runner, address, first and end");
		}
		Address.parse(address);
		layers(first, end);
	}

	/**
	 * Returns the layers.
	 * @return the range
	 */
	LayerRange layers() {
		return layers(this.first, this.end);
	}

	private static LayerRange layers(int first, int end) {
		return new LayerRange(first, end);
	}

	/**
	 * Returns what the stage adds to the trace of a token.
	 * @return the trace entry
	 */
	Trace trace() {
		return new Trace(this.runner, this.first, this.end);
	}

	/**
	 * Layers that a runner executed for a token.
	 *
	 * @param runner the runner
	 * @param first first layer, inclusive
	 * @param end last layer, exclusive
	 */
	public record Trace(String runner, int first, int end) {

	}

}
