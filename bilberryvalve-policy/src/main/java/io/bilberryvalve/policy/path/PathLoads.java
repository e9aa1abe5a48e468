package io.bilberryvalve.policy.path;

import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.RunnerId;

/**
 * Load of runners over all daemons.
 */
public interface PathLoads {

	/** Longest identifier of a runner. */
	int MAX_NAME = 63;

	/** Runners without requests. */
	PathLoads IDLE = new PathLoads() {

		@Override
		public int running(RunnerId runner) {
			return 0;
		}

		@Override
		public long tokenLayers(RunnerId runner) {
			return 0;
		}

		@Override
		public int entered(RunnerId runner) {
			return 0;
		}

		@Override
		public long unreadLayers(RunnerId runner) {
			return 0;
		}

	};

	/**
	 * Returns the identifier under which the requests that cross between two data centres
	 * are counted, as if the link were a runner.
	 * @param one a data centre
	 * @param other another data centre
	 * @return the same identifier for both directions
	 */
	static RunnerId link(DataCentreId one, DataCentreId other) {
		boolean inOrder = one.value().compareTo(other.value()) <= 0;
		String text = "link." + (inOrder ? one : other) + "." + (inOrder ? other : one);
		return new RunnerId(text.substring(0, Math.min(text.length(), MAX_NAME)));
	}

	/**
	 * Returns the requests that pass a runner.
	 * @param runner the runner
	 * @return number of requests
	 */
	int running(RunnerId runner);

	/**
	 * Returns the memory of the requests that pass a runner, with the expected answers.
	 * @param runner the runner
	 * @return sum of tokens times layers that they pass there
	 */
	long tokenLayers(RunnerId runner);

	/**
	 * Returns the requests that entered their path at a runner.
	 * @param runner the runner
	 * @return number of requests
	 */
	int entered(RunnerId runner);

	/**
	 * Returns the prompt tokens that a runner has still to read.
	 * @param runner the runner
	 * @return sum of tokens times layers that they pass there
	 */
	long unreadLayers(RunnerId runner);

}
