package io.bilberryvalve.daemon.report;

import java.time.Duration;

import io.bilberryvalve.model.ClubId;

/**
 * Row of the burn report: how fast one club consumed the error budget of one objective in
 * one time window.
 *
 * @param club club whose requests are counted
 * @param objective service-level objective
 * @param window length of the time window
 * @param good number of events in the window that met the objective
 * @param bad number of events in the window that missed the objective
 */
public record BurnRateRow(ClubId club, Objective objective, Duration window, long good, long bad) {

	/**
	 * Returns the fraction of bad events divided by the fraction that the objective
	 * allows.
	 * @return the burn rate; 0 if there are no events, 1 if exactly the allowed fraction
	 * is bad
	 */
	public double burnRate() {
		long total = this.good + this.bad;
		return (total == 0) ? 0 : ((double) this.bad / total) / (1 - this.objective.target());
	}

}
