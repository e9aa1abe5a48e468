package io.bilberryvalve.daemon.reply;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Repair budget to which each new reply adds a fraction of a repair, up to a reserve. The
 * reserve covers the failure of a machine, after which all its replies need a repair at
 * once.
 */
public final class FractionRepairBudget implements RepairBudget {

	private static final long UNITS_PER_REPAIR = 1000;

	private final long unitsPerReply;

	private final long reserve;

	private final AtomicLong balance;

	/**
	 * Creates a budget with a full reserve.
	 * @param fraction repairs that each new reply adds, for example 0.1
	 * @param reserve maximum number of repairs in the budget, at least 1
	 * @throws IllegalArgumentException if a number is out of range
	 */
	public FractionRepairBudget(double fraction, int reserve) {
		if (!(fraction >= 0) || reserve < 1) {
			throw new IllegalArgumentException("the fraction must not be negative and the reserve must be positive");
		}
		this.unitsPerReply = Math.round(fraction * UNITS_PER_REPAIR);
		this.reserve = reserve * UNITS_PER_REPAIR;
		this.balance = new AtomicLong(this.reserve);
	}

	@Override
	public void recordReply() {
		this.balance.updateAndGet((now) -> Math.min(this.reserve, now + this.unitsPerReply));
	}

	@Override
	public boolean tryAcquire() {
		long before = this.balance.getAndUpdate((now) -> (now >= UNITS_PER_REPAIR) ? now - UNITS_PER_REPAIR : now);
		return before >= UNITS_PER_REPAIR;
	}

}
