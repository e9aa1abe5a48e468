package io.bilberryvalve.gateway.layers;

import java.util.concurrent.CompletionStage;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.model.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Sends layer orders to runners and queries their state.
 */
public interface LayerOrders {

	/**
	 * Orders a runner to hold a range of layers in place of its present layers.
	 * @param runner runner to which the order is sent
	 * @param range all layers that it is to hold
	 * @param fencing fencing number of the lease of this daemon
	 * @param accepted number of orders that the runner is expected to have accepted since
	 * its start; it refuses the order if its own number differs
	 * @return the result; the stage never completes exceptionally
	 */
	CompletionStage<Answer> sendOrder(ListedRunner runner, LayerRange range, long fencing, long accepted);

	/**
	 * Queries the state of a runner.
	 * @param runner runner to query
	 * @return its state, or {@code null} if it did not answer; the stage never completes
	 * exceptionally
	 */
	CompletionStage<@Nullable EngineState> fetchState(ListedRunner runner);

	/**
	 * Result of an order.
	 */
	enum Answer {

		/** The runner has begun to carry out the order, or already holds the layers. */
		ACCEPTED,

		/** The order does not fit the state of the runner. */
		CONFLICT,

		/** Another daemon has used a higher fencing number. */
		SUPERSEDED,

		/** The runner refused the order for another reason. */
		REFUSED,

		/**
		 * There was no answer; the runner may carry out the order, also at a later time.
		 */
		UNKNOWN

	}

	/**
	 * State of a runner, as reported by its engine.
	 *
	 * @param busy whether an order is in progress
	 * @param accepted number of orders accepted since the runner started
	 * @param layers layers that it holds, or {@code null} for none
	 */
	record EngineState(boolean busy, long accepted, @Nullable LayerRange layers) {

	}

}
