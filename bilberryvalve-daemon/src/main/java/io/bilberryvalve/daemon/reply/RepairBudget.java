package io.bilberryvalve.daemon.reply;

/**
 * Limits repairs to a fraction of the traffic, so that repairs cannot multiply the load
 * when many runners fail. Safe for use by several threads.
 */
public interface RepairBudget {

	/**
	 * Counts a new reply, which earns budget.
	 */
	void recordReply();

	/**
	 * Asks for a repair.
	 * @return whether the budget allows it
	 */
	boolean tryAcquire();

}
