package io.bilberryvalve.gateway.layers;

import java.util.concurrent.CompletionStage;

import io.bilberryvalve.gateway.fleet.ListedRunner;
import io.bilberryvalve.model.LayerRange;
import org.jspecify.annotations.Nullable;

/**
 * Sends orders to runners.
 */
public interface LayerOrderClient {

	/**
	 * Orders a runner to hold a range of layers instead of those that it holds.
	 * @param runner the runner
	 * @param range the layers
	 * @param fencing fencing number of the sender
	 * @param accepted number of orders that the runner has accepted so far; it refuses
	 * the order if the number differs
	 * @return the answer; the stage never fails
	 */
	CompletionStage<OrderResult> sendOrder(ListedRunner runner, LayerRange range, long fencing, long accepted);

	/**
	 * Asks a runner what it holds.
	 * @param runner the runner
	 * @return its state, or {@code null} if it did not answer; the stage never fails
	 */
	CompletionStage<@Nullable EngineState> fetchState(ListedRunner runner);

	/**
	 * Answer to an order.
	 */
	enum OrderResult {

		/** The order began, or the runner already holds the layers. */
		ACCEPTED,

		/** The order does not fit the state of the runner. */
		CONFLICT,

		/** Another daemon has used a higher fencing number. */
		SUPERSEDED,

		/** The runner refused the order for another reason. */
		REFUSED,

		/** No answer; the order may be carried out, now or later. */
		UNKNOWN

	}

	/**
	 * State of a runner.
	 *
	 * @param busy whether an order is in progress
	 * @param accepted number of orders accepted since the start
	 * @param layers the layers that it holds, or {@code null} for none
	 */
	record EngineState(boolean busy, long accepted, @Nullable LayerRange layers) {

	}

}
