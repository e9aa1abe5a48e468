package io.bilberryvalve.policy.retry;

import java.time.Clock;
import java.time.Duration;
import java.util.function.IntSupplier;
import java.util.function.LongToDoubleFunction;

/**
 * Share of one daemon in a retry budget that all daemons have together. Answers the load
 * pattern of a lost runner on which many streams break at the same moment: each daemon
 * may repeat its part of them at once, without asking the others. A daemon that has just
 * started does not know what it repeated before, so it takes a small share at first.
 */
public final class RetryShare implements LongToDoubleFunction {

	/**
	 * Part of the common budget that is divided. The rest covers daemons that repeat
	 * requests, restart and repeat more within one window.
	 */
	private static final double STEADY_FRACTION = 0.7;

	/**
	 * Part that is divided among daemons that have just started; some start twice in a
	 * window.
	 */
	private static final double STARTING_FRACTION = 0.15;

	/**
	 * Requests are counted over a longer time than the window, so they permit less each.
	 */
	private static final double REQUEST_FRACTION = 0.75;

	/**
	 * A budget that counts in tenths must cover more than the window to hold in any
	 * window.
	 */
	private static final double COUNTED_WINDOW_FACTOR = 1.2;

	private final Clock clock;

	private final double ratio;

	private final int slack;

	private final Duration window;

	private final IntSupplier daemons;

	private final long startedMillis;

	/**
	 * Creates a share.
	 * @param clock monotonic clock
	 * @param ratio repeated requests that all daemons may send as a fraction of all
	 * requests
	 * @param slack repeated requests that they may send in addition
	 * @param window time for which both hold
	 * @param daemons number of daemons that may send repeated requests, at least 1
	 */
	public RetryShare(Clock clock, double ratio, int slack, Duration window, IntSupplier daemons) {
		this.clock = clock;
		this.ratio = ratio;
		this.slack = slack;
		this.window = window;
		this.daemons = daemons;
		this.startedMillis = clock.millis();
	}

	/**
	 * Creates a budget with this share.
	 * @return a budget that holds in any window of the given length
	 */
	public RetryBudget budget() {
		return new RetryBudget(this.clock, this, countedWindow());
	}

	private Duration countedWindow() {
		return Duration.ofMillis(Math.round(this.window.toMillis() * COUNTED_WINDOW_FACTOR));
	}

	/**
	 * Returns the repeated requests that this daemon may send.
	 * @param requests requests that it has received in the counted time
	 * @return number of repeated requests in that time
	 */
	@Override
	public double applyAsDouble(long requests) {
		boolean starting = this.clock.millis() - this.startedMillis < countedWindow().toMillis();
		double part = starting ? STARTING_FRACTION : STEADY_FRACTION;
		return REQUEST_FRACTION * this.ratio * requests + part * this.slack / Math.max(1, this.daemons.getAsInt());
	}

}
