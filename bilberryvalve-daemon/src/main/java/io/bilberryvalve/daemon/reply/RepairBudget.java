package io.bilberryvalve.daemon.reply;

/**
 * Limits repairs to a fraction of the traffic, so that repairs cannot multiply the load
 * when many runners fail. Implementations are thread-safe.
 */
public interface RepairBudget {

	/**
	 * Records a new reply, which adds to the budget.
	 */
	void recordReply();

	/**
	 * Takes one repair from the budget if possible.
	 * @return whether the budget allows the repair
	 */
	boolean tryAcquire();

}
