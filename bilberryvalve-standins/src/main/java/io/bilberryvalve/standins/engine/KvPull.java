package io.bilberryvalve.standins.engine;

/**
 * The document of {@code POST /v1/kv/{stream}/pull}.
 *
 * @param from address of the engine that has the data
 * @param epoch epoch that the data is for
 */
public record KvPull(String from, int epoch) {

	/**
	 * Checks the request.
	 * @throws IllegalArgumentException if a field is missing
	 */
	public KvPull {
		if (from == null || epoch < 1) {
			throw new IllegalArgumentException("a pull needs from and epoch >= 1");
		}
	}

}
