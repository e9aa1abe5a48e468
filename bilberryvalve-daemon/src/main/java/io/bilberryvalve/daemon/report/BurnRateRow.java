package io.bilberryvalve.daemon.report;

import java.time.Duration;

import io.bilberryvalve.model.ClubId;

/**
 * Consumption of an error budget in a window.
 *
 * @param club the club
 * @param objective the objective
 * @param window length of the window
 * @param good number of good events
 * @param bad number of bad events
 */
public record BurnRateRow(ClubId club, Objective objective, Duration window, long good, long bad) {

	/**
	 * Returns the fraction of bad events in proportion to the fraction that the target
	 * allows.
	 * @return the burn rate; 0 without events
	 */
	public double burnRate() {
		long total = this.good + this.bad;
		return (total == 0) ? 0 : ((double) this.bad / total) / (1 - this.objective.target());
	}

}
