package io.bilberryvalve.gateway.relay;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.model.Address;

/**
 * Asks the first runner of a path which runners do not respond to it, to find the cause
 * of a stalled stream.
 */
@FunctionalInterface
public interface StallProbe {

	/**
	 * Asks a runner for its report.
	 * @param first the first runner of a path
	 * @return the result; the stage never completes exceptionally, and a runner that
	 * cannot be reached gives a result without answer
	 */
	CompletionStage<ProbeResult> probe(ListedRunner first);

	/**
	 * Result of a probe.
	 *
	 * @param answered whether the probed runner answered
	 * @param unresponsive addresses of the runners that the probed runner waits for;
	 * empty if it did not answer
	 */
	record ProbeResult(boolean answered, List<Address> unresponsive) {

		/**
		 * Copies the list.
		 * @param answered whether the probed runner answered
		 * @param unresponsive addresses of the runners that the probed runner waits for;
		 * empty if it did not answer
		 */
		public ProbeResult {
			unresponsive = List.copyOf(unresponsive);
		}

	}

}
