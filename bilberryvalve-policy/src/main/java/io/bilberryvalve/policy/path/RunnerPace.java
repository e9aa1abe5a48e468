package io.bilberryvalve.policy.path;

import io.bilberryvalve.model.RunnerId;
import io.bilberryvalve.model.log.LogEvent;

/**
 * Recent samples of the pace of one runner. Keeps the least values of the present and of
 * the previous period, so that one slow sample does not make a runner slow and one that
 * is not slow clears it. Safe for use by several threads.
 */
final class RunnerPace {

	/** Length of a period; several streams give a sample in it. */
	private static final long PERIOD_MILLIS = 400;

	/** Largest estimate, which limits the effect of one long gap between two events. */
	private static final double MAX_SLOWDOWN = 20;

	private double ratio = 1;

	private double slowdown = Double.POSITIVE_INFINITY;

	private double previousRatio = 1;

	private double previousSlowdown = Double.POSITIVE_INFINITY;

	private long periodStart;

	private long sampledAt;

	private long triedAt;

	private boolean hasSamples;

	private boolean inTrial;

	/**
	 * Records a sample.
	 * @param sampleRatio measured time between events over the expected one
	 * @param sampleSlowdown slowdown of this runner by which the ratio is explained, or
	 * infinity if no runner of the path was known to be slow
	 * @param now present time in milliseconds
	 * @return whether the runner is slow
	 */
	synchronized boolean record(double sampleRatio, double sampleSlowdown, long now) {
		if (!this.hasSamples || (isExpired(now) && !isSlow())) {
			startPeriod(1, Double.POSITIVE_INFINITY, sampleRatio, sampleSlowdown, now);
		}
		else if (now - this.periodStart >= PERIOD_MILLIS) {
			startPeriod(this.ratio, this.slowdown, sampleRatio, sampleSlowdown, now);
		}
		else {
			this.ratio = Math.min(this.ratio, sampleRatio);
			this.slowdown = Math.min(this.slowdown, sampleSlowdown);
		}
		this.hasSamples = true;
		this.inTrial = false;
		this.sampledAt = now;
		return isSlow();
	}

	private void startPeriod(double beforeRatio, double beforeSlowdown, double newRatio, double newSlowdown, long now) {
		this.previousRatio = beforeRatio;
		this.previousSlowdown = beforeSlowdown;
		this.ratio = newRatio;
		this.slowdown = newSlowdown;
		this.periodStart = now;
	}

	private double leastRatio() {
		return Math.min(this.ratio, this.previousRatio);
	}

	private double leastSlowdown() {
		double least = Math.min(this.slowdown, this.previousSlowdown);
		return Math.min(Double.isInfinite(least) ? leastRatio() : least, MAX_SLOWDOWN);
	}

	private boolean isSlow() {
		return leastRatio() >= PaceEstimator.SLOW_RATIO;
	}

	private boolean isExpired(long now) {
		return now - this.sampledAt >= PaceEstimator.LIFETIME_MILLIS;
	}

	private boolean awaitsTrial(long now) {
		return isExpired(now) && !(this.inTrial && now - this.triedAt < PaceEstimator.LIFETIME_MILLIS);
	}

	/**
	 * Returns the slowdown for a choice.
	 * @param now present time in milliseconds
	 * @return the estimate, or 1 if the runner is not slow or should be tried
	 */
	synchronized double slowdown(long now) {
		return (isSlow() && !awaitsTrial(now)) ? leastSlowdown() : 1;
	}

	/**
	 * Starts a trial if the runner is slow and its estimate has expired.
	 * @param now present time in milliseconds
	 * @return whether a trial was started
	 */
	synchronized boolean startTrial(long now) {
		boolean starts = isSlow() && awaitsTrial(now);
		if (starts) {
			this.inTrial = true;
			this.triedAt = now;
		}
		return starts;
	}

	synchronized LogEvent event(String name, RunnerId runner, long now) {
		return LogEvent.of(name)
			.with("runner", runner)
			.with("ratio", rounded(leastRatio()))
			.with("slowdown", rounded(leastSlowdown()))
			.with("sample-age", now - this.sampledAt);
	}

	private static double rounded(double value) {
		return Math.round(value * 100) / 100.0;
	}

}
