package io.bilberryvalve.policy.chain;

import java.util.List;

/**
 * Result of {@link ChainRepair}: how a reply continues after a failure.
 *
 * @param chain chain that continues the reply
 * @param imports KV caches to transfer before the reply continues; a new stage without an
 * import rebuilds its cache from the prompt and the delivered tokens
 */
public record RepairPlan(Chain chain, List<KvImport> imports) {

	/**
	 * Copies the list.
	 */
	public RepairPlan {
		imports = List.copyOf(imports);
	}

}
