package io.bilberryvalve.daemon.reply;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Budget that each reply increases by a fraction of a repair, up to a reserve. The
 * reserve covers the moment when a machine fails and all its replies need repair at once.
 */
public final class FractionRepairBudget implements RepairBudget {

	private static final long UNITS_PER_REPAIR = 1000;

	private final long unitsPerReply;

	private final long reserve;

	private final AtomicLong balance;

	/**
	 * Creates a full budget.
	 * @param fraction repairs earned by each reply, for example 0.1
	 * @param reserve largest number of repairs saved, at least 1
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
