package io.bilberryvalve.policy.path;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;

/**
 * Loads of runners over all daemons.
 */
@FunctionalInterface
public interface LoadSource {

	/** Runners without requests. */
	LoadSource IDLE = (runner) -> RunnerLoad.NONE;

	/** Longest identifier of a runner. */
	int MAX_ID_LENGTH = 63;

	/**
	 * Returns the identifier under which the requests that cross between two data centres
	 * are counted, as if the link were a runner.
	 * @param one a data centre
	 * @param other another data centre
	 * @return the same identifier for both directions
	 */
	static RunnerId linkId(DataCentreId one, DataCentreId other) {
		boolean inOrder = one.value().compareTo(other.value()) <= 0;
		String text = "link." + (inOrder ? one : other) + "." + (inOrder ? other : one);
		return new RunnerId(text.substring(0, Math.min(text.length(), MAX_ID_LENGTH)));
	}

	/**
	 * Returns the load of a runner.
	 * @param runner the runner, or the identifier of a link
	 * @return its load
	 */
	RunnerLoad of(RunnerId runner);

}
