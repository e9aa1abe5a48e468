package io.bilberryvalve.policy.chain;

import java.util.Collection;
import java.util.List;
import java.util.Optional;

/**
 * Plans chains of runners that cover all layers of a model.
 */
public interface ChainPlanner {

	/**
	 * Finds the chain with the least expected time for one token.
	 * @param model layers and activation size of the model
	 * @param candidates runners that may be used; all hold layers of the model
	 * @param links transfer times between data centres
	 * @return the chain, or empty if the candidates do not cover the model
	 */
	Optional<Chain> best(ModelShape model, Collection<Candidate> candidates, LinkTable links);

	/**
	 * Finds several chains that together use the capacity of the runners. Chains that
	 * share no runner come first where they exist.
	 * @param model layers and activation size of the model
	 * @param candidates runners that may be used; all hold layers of the model
	 * @param links transfer times between data centres
	 * @return the chains, each with its share of the capacity; empty if the candidates do
	 * not cover the model
	 */
	List<Chain> plan(ModelShape model, Collection<Candidate> candidates, LinkTable links);

}
