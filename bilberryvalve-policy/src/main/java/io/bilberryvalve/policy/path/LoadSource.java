package io.bilberryvalve.policy.path;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;

/**
 * Provides the load of runners and of links between data centres, summed over all
 * daemons.
 */
@FunctionalInterface
public interface LoadSource {

	/** Source in which nothing has any load. */
	LoadSource IDLE = (runner) -> RunnerLoad.NONE;

	/** Longest identifier of a runner, in characters. */
	int MAX_ID_LENGTH = 63;

	/**
	 * Returns the identifier under which the load of the link between two data centres is
	 * counted. Links are treated as runners for this.
	 * @param one data centre at one end of the link
	 * @param other data centre at the other end
	 * @return the same identifier for both directions
	 */
	static RunnerId linkId(DataCentreId one, DataCentreId other) {
		boolean inOrder = one.value().compareTo(other.value()) <= 0;
		String text = "link." + (inOrder ? one : other) + "." + (inOrder ? other : one);
		return new RunnerId(text.substring(0, Math.min(text.length(), MAX_ID_LENGTH)));
	}

	/**
	 * Returns the load of a runner or link.
	 * @param runner identifier of the runner, or of a link as returned by {@link #linkId}
	 * @return its present load, {@link RunnerLoad#NONE} if there is none
	 */
	RunnerLoad of(RunnerId runner);

}
