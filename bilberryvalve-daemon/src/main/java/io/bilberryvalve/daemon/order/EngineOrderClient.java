package io.bilberryvalve.daemon.order;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionStage;

import io.bilberryvalve.model.Runner;
import io.bilberryvalve.policy.lease.FencingNumber;

/**
 * Sends orders to engines and asks them what they have loaded. The stages never complete
 * exceptionally.
 */
public interface EngineOrderClient {

	/**
	 * Orders an engine to load a model.
	 * @param runner the engine
	 * @param fencing fencing number of the lease; an engine that checks it refuses an
	 * order whose number is lower than one it has seen
	 * @param wanted what the engine should load
	 * @param timeout maximum time until the engine has replied
	 * @return the reply
	 */
	CompletionStage<Reply> orderLoad(Runner runner, FencingNumber fencing, LoadedModel wanted, Duration timeout);

	/**
	 * Asks an engine what it has loaded.
	 * @param runner the engine
	 * @param timeout maximum time until the engine has replied
	 * @return what the engine has loaded; empty if it did not reply or its reply does not
	 * contain the information
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
		 * The engine refused the order, because it has seen a higher fencing number.
		 */
		record Fenced() implements Reply {

		}

		/**
		 * The order failed, or the reply was lost and the engine may have executed the
		 * order.
		 *
		 * @param detail cause, for diagnosis
		 */
		record Failed(String detail) implements Reply {

		}

	}

}
