package io.bilberryvalve.daemon.order;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Runner;
import io.bilberryvalve.policy.lease.FencingNumber;

/**
 * Sends orders to engines. Stages never complete exceptionally.
 */
public interface EngineOrderClient {

	/**
	 * Orders an engine to load a model.
	 * @param runner the engine
	 * @param fencing fencing number of the lease
	 * @param wanted what it should hold
	 * @param timeout how long the order may take
	 * @return the reply
	 */
	CompletionStage<Reply> orderLoad(Runner runner, FencingNumber fencing, LoadedModel wanted, Duration timeout);

	/**
	 * Asks an engine what it holds.
	 * @param runner the engine
	 * @param timeout how long to wait
	 * @return what it holds, or nothing if it did not say
	 */
	CompletionStage<Optional<LoadedModel>> fetchLoadedModel(Runner runner, Duration timeout);

	/**
	 * Reply to an order.
	 */
	sealed interface Reply {

		/**
		 * The order was executed.
		 */
		record Done() implements Reply {

		}

		/**
		 * The engine has seen a higher fencing number.
		 */
		record Fenced() implements Reply {

		}

		/**
		 * The order failed, or its answer was lost.
		 *
		 * @param detail what happened
		 */
		record Failed(String detail) implements Reply {

		}

	}

}
