package io.bilberryvalve.policy.retry;

import java.time.Clock;
import java.time.Duration;
import java.util.function.IntSupplier;
import java.util.function.LongToDoubleFunction;

/**
 * Share of one daemon in a retry budget that all daemons have in common. When a runner is
 * lost and many streams break at the same moment, each daemon can retry its part of them
 * at once, without asking the others. A daemon that has just started does not know how
 * many requests it retried before the restart, so it takes a smaller share at first.
 */
public final class RetryShare implements LongToDoubleFunction {

	/**
	 * Fraction of the slack that is divided among the daemons. The rest covers daemons
	 * that send retries, restart and send further retries within one window.
	 */
	private static final double STEADY_FRACTION = 0.7;

	/**
	 * Fraction of the slack that daemons divide while they have just started. It is
	 * smaller because a daemon may start twice within a window.
	 */
	private static final double STARTING_FRACTION = 0.15;

	/**
	 * Fraction of the ratio that each request counts for. It is below 1 because requests
	 * are counted over a longer time than the window.
	 */
	private static final double REQUEST_FRACTION = 0.75;

	/**
	 * Length of the counted time, as a multiple of the window. {@link RetryBudget}
	 * divides its time into ten buckets, so it must cover more than the window for the
	 * limit to hold in any window.
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
	 * @param ratio retries that all daemons together may send, as a fraction of all
	 * requests
	 * @param slack number of retries that they may send in addition
	 * @param window length of any time span in which both limits hold
	 * @param daemons current number of daemons that may send retries, at least 1
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
	 * Creates a budget with this share as its limit.
	 * @return budget of this daemon, whose limit holds in any window of the given length
	 */
	public RetryBudget budget() {
		return new RetryBudget(this.clock, this, countedWindow());
	}

	private Duration countedWindow() {
		return Duration.ofMillis(Math.round(this.window.toMillis() * COUNTED_WINDOW_FACTOR));
	}

	/**
	 * Returns the number of retries that this daemon may send.
	 * @param requests number of requests that this daemon has received in the counted
	 * time
	 * @return number of retries in that time
	 */
	@Override
	public double applyAsDouble(long requests) {
		boolean starting = this.clock.millis() - this.startedMillis < countedWindow().toMillis();
		double part = starting ? STARTING_FRACTION : STEADY_FRACTION;
		return REQUEST_FRACTION * this.ratio * requests + part * this.slack / Math.max(1, this.daemons.getAsInt());
	}

}
