package io.bilberryvalve.platform.watch;

import java.time.Duration;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

/**
 * Pace of a daemon in a fleet whose daemons tell each other of changes. A few of them ask
 * the store often and tell the others, which ask seldom: each call to the store has its
 * price, and with the same pace for all, the calls grow with the number of daemons. A
 * daemon that hears of no change still notices it by its own polls.
 *
 * @param budget divides the calls that the store accepts
 * @param daemons supplies the number of daemons that poll
 * @param asksOften supplies whether this daemon is one of those that ask often
 * @param relaxedWait longest wait for a daemon that does not ask often, if that of the
 * budget is shorter
 * @param relaxedDelay delay after a change for such a daemon, at least
 * {@link #SHORT_DELAY}
 */
public record SharedPollPace(PollBudget budget, IntSupplier daemons, BooleanSupplier asksOften, Duration relaxedWait,
		Duration relaxedDelay) implements PollPace {

	/** Delay after a change for daemons that ask often. */
	public static final Duration SHORT_DELAY = Duration.ofMillis(120);

	@Override
	public Duration longestWait() {
		Duration wait = this.budget.pollWait(this.daemons.getAsInt());
		return this.asksOften.getAsBoolean() ? wait : longer(wait, this.relaxedWait);
	}

	@Override
	public Duration delayAfterChange() {
		return this.asksOften.getAsBoolean() ? SHORT_DELAY : longer(SHORT_DELAY, this.relaxedDelay);
	}

	private static Duration longer(Duration one, Duration other) {
		return (one.compareTo(other) >= 0) ? one : other;
	}

}
