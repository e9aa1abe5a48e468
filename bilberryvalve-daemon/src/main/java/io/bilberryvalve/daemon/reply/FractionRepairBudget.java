package io.bilberryvalve.daemon.reply;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Budget that each reply increases by a fraction of a repair, up to a reserve. The
 * reserve covers the moment when a machine fails and all its replies need repair at once.
 */
public final class FractionRepairBudget implements RepairBudget {

	private static final long UNIT = 1000;

	private final long earned;

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
		this.earned = Math.round(fraction * UNIT);
		this.reserve = reserve * UNIT;
		this.balance = new AtomicLong(this.reserve);
	}

	@Override
	public void replyStarted() {
		this.balance.updateAndGet((now) -> Math.min(this.reserve, now + this.earned));
	}

	@Override
	public boolean takeRepair() {
		long before = this.balance.getAndUpdate((now) -> (now >= UNIT) ? now - UNIT : now);
		return before >= UNIT;
	}

}
