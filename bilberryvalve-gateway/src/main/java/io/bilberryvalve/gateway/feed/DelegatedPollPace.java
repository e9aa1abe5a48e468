package io.bilberryvalve.gateway.feed;

import java.time.Duration;
import java.util.function.Supplier;

import io.bilberryvalve.platform.watch.PollPace;

/**
 * Pace of polls in a fleet with delegates. Without them, another pace applies.
 *
 * @param reading supplies how this daemon reads the table
 * @param alone pace of a daemon that reads the store for itself
 * @param bound time within which a daemon must notice a change of the table
 */
record DelegatedPollPace(Supplier<RowReading> reading, PollPace alone, Duration bound) implements PollPace {

	/**
	 * Wait of a delegate's polls at the store. Each of its rows is used only until 1 s
	 * after the last answer of the store, which in a slow phase takes 0.3 s.
	 */
	static final Duration DELEGATE_WAIT = Duration.ofMillis(500);

	/**
	 * Part of the bound after which a delegate reads the store again after a change, and
	 * another daemon the delegate.
	 */
	private static final int DELAY_DIVISOR = 12;

	/**
	 * Part of the bound for which a poll waits at a delegate. With the margins for two
	 * delegates that do not reply, the store is read before two thirds of the bound have
	 * passed if it is 3 s.
	 */
	private static final int WAIT_DIVISOR = 4;

	/** Least bound that is used, so that polls of a delegate wait at all. */
	private static final Duration MIN_BOUND = Duration.ofSeconds(1);

	/**
	 * Raises a short bound.
	 * @param reading supplies how this daemon reads the table
	 * @param alone pace of a daemon that reads the store for itself
	 * @param bound time within which a daemon must notice a change of the table
	 */
	DelegatedPollPace {
		bound = (bound.compareTo(MIN_BOUND) < 0) ? MIN_BOUND : bound;
	}

	@Override
	public Duration longestWait() {
		return switch (this.reading.get()) {
			case ALONE -> this.alone.longestWait();
			case FOR_OTHERS -> DELEGATE_WAIT;
			case FROM_DELEGATE -> this.bound.dividedBy(WAIT_DIVISOR);
		};
	}

	@Override
	public Duration delayAfterChange() {
		return (this.reading.get() == RowReading.ALONE) ? this.alone.delayAfterChange()
				: this.bound.dividedBy(DELAY_DIVISOR);
	}

}
