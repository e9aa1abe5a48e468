package io.bilberryvalve.policy.chain;

import java.util.List;
import java.util.Map;

/**
 * Immutable table of the planned chains of all models. Each plan creates a new table,
 * which is published through an atomic reference and read by requests without locks.
 *
 * @param version number of the plan; each new plan has a higher one
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
	 * @return an empty table with version 0
	 */
	public static ChainTable empty() {
		return new ChainTable(0, Map.of());
	}

	/**
	 * Returns the chains of a model.
	 * @param key model version and adapter
	 * @return the chains, an empty set if no chain was planned for the key
	 */
	public ChainSet chains(PlanKey key) {
		return this.sets.getOrDefault(key, NO_CHAINS);
	}

}
