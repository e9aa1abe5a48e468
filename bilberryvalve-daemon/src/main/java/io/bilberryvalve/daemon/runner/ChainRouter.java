package io.bilberryvalve.daemon.runner;

import java.util.Optional;
import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.PlanKey;
import io.bilberryvalve.policy.chain.RepairPlan;

/**
 * Chooses the chain of each reply and records the load and the failures that follow from
 * it. All methods are non-blocking and thread-safe.
 */
public interface ChainRouter {

	/**
	 * Chooses a chain for a new reply.
	 * @param key model version and adapter
	 * @param prompt prompt of the caller; chains that may have a prefix of it in their
	 * cache are preferred
	 * @return the chain, or empty if no chain covers the model
	 */
	Optional<Chain> choose(PlanKey key, String prompt);

	/**
	 * Plans how a reply continues after its chain has failed.
	 * @param key model version and adapter
	 * @param old the chain that failed
	 * @param avoid runners that must not be used
	 * @param alive avoided runners that still answer, so that their KV cache can be
	 * pulled
	 * @return the plan, or empty if no chain without the avoided runners exists
	 */
	Optional<RepairPlan> repair(PlanKey key, Chain old, Set<RunnerId> avoid, Set<RunnerId> alive);

	/**
	 * Adds a stream to the load of the runners of a chain.
	 * @param chain chain that receives the stream
	 * @param promptTokens number of tokens of the prompt and of the reply so far, which
	 * the runners have to prefill
	 * @return tracker of the stream, which the caller must update and end
	 */
	WorkTracker startWork(Chain chain, int promptTokens);

	/**
	 * Records a failure of a runner, which lowers its share of the work.
	 * @param runner runner that failed
	 */
	void recordFailure(RunnerId runner);

	/**
	 * Tracks the load of one stream on the runners of its chain. Calls must not be
	 * concurrent.
	 */
	interface WorkTracker {

		/**
		 * Records a delivered token; the first one ends the prefill.
		 */
		void onTokenDelivered();

		/**
		 * Removes the stream from the load of the runners, including work that was not
		 * computed. Calls after the first have no effect.
		 * @param succeeded whether the chain completed the reply
		 */
		void end(boolean succeeded);

	}

}
