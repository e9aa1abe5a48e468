package io.bilberryvalve.daemon.runner;

import java.util.Optional;
import java.util.Set;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.policy.chain.Chain;
import io.bilberryvalve.policy.chain.PlanKey;
import io.bilberryvalve.policy.chain.RepairPlan;

/**
 * Chooses chains for replies and learns from what happens to them. All methods are
 * non-blocking and safe for use by several threads.
 */
public interface ChainRouter {

	/**
	 * Chooses a chain for a new reply.
	 * @param key model version and adapter
	 * @param prompt the prompt, for prefix affinity
	 * @return the chain, or empty if no chain covers the model
	 */
	Optional<Chain> choose(PlanKey key, String prompt);

	/**
	 * Chooses how a reply continues after a failure.
	 * @param key model version and adapter
	 * @param old the chain that failed
	 * @param avoid runners that must not be used
	 * @param alive avoided runners whose KV cache can still be pulled
	 * @return the plan, or empty if no chain without the avoided runners exists
	 */
	Optional<RepairPlan> repair(PlanKey key, Chain old, Set<RunnerId> avoid, Set<RunnerId> alive);

	/**
	 * Counts work sent to a chain.
	 * @param chain the chain
	 * @param promptTokens tokens of the prompt and of the reply so far
	 * @return the work, to be updated as it progresses
	 */
	WorkTracker startWork(Chain chain, int promptTokens);

	/**
	 * Notes the failure of a runner.
	 * @param runner the runner
	 */
	void recordFailure(RunnerId runner);

	/**
	 * Work in progress on a chain. Calls are not concurrent.
	 */
	interface WorkTracker {

		/**
		 * Counts a delivered token.
		 */
		void onTokenDelivered();

		/**
		 * Ends the work; what was not computed no longer counts.
		 * @param succeeded whether the chain completed the work
		 */
		void end(boolean succeeded);

	}

}
