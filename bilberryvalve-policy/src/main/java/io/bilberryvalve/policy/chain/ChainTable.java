package io.bilberryvalve.policy.chain;

import java.util.List;
import java.util.Map;

/**
 * The planned chains of all models. Immutable: a planner publishes a new table through
 * one atomic reference, and requests read it without locks.
 *
 * @param version number of the plan, rising
 * @param sets chains for each model version and adapter
 */
public record ChainTable(long version, Map<PlanKey, ChainSet> sets) {

	private static final ChainSet NO_CHAINS = new ChainSet(List.of(), List.of());

	/**
	 * Copies the map.
	 */
	public ChainTable {
		sets = Map.copyOf(sets);
	}

	/**
	 * Returns a table without chains.
	 * @return the table, version 0
	 */
	public static ChainTable empty() {
		return new ChainTable(0, Map.of());
	}

	/**
	 * Returns the chains of a model.
	 * @param key model version and adapter
	 * @return the chains; an empty set if none was planned
	 */
	public ChainSet chains(PlanKey key) {
		return this.sets.getOrDefault(key, NO_CHAINS);
	}

}
