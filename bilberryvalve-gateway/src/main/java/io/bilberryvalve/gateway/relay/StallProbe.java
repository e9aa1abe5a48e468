package io.bilberryvalve.gateway.relay;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.model.Address;

/**
 * Asks the first runner of a path which runners it waits for.
 */
@FunctionalInterface
public interface StallProbe {

	/**
	 * Asks a runner.
	 * @param first the first runner of a path
	 * @return what the runner says; the stage never fails
	 */
	CompletionStage<ProbeResult> probe(ListedRunner first);

	/**
	 * What a runner says about its paths.
	 *
	 * @param answered whether it answered
	 * @param unresponsive addresses of the runners that do not answer it
	 */
	record ProbeResult(boolean answered, List<Address> unresponsive) {

		/**
		 * Copies the list.
		 * @param answered whether it answered
		 * @param unresponsive addresses of the runners that do not answer it
		 */
		public ProbeResult {
			unresponsive = List.copyOf(unresponsive);
		}

	}

}
