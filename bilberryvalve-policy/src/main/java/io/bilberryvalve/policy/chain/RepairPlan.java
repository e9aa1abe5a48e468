package io.bilberryvalve.policy.chain;

import java.util.List;

/**
 * How a reply continues after a failure.
 *
 * @param chain the chain that continues
 * @param imports KV caches to transfer before it continues; stages that neither survive
 * nor import rebuild their cache from the prompt and the delivered tokens
 */
public record RepairPlan(Chain chain, List<KvImport> imports) {

	/**
	 * Copies the list.
	 */
	public RepairPlan {
		imports = List.copyOf(imports);
	}

}
