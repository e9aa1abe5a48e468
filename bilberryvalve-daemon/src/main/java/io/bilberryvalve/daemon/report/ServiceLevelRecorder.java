package io.bilberryvalve.daemon.report;

import io.bilberryvalve.model.ClubId;

/**
 * Receives events that count towards service-level objectives.
 */
@FunctionalInterface
public interface ServiceLevelRecorder {

	/**
	 * Records events.
	 * @param club the club
	 * @param objective the objective
	 * @param good number of good events
	 * @param bad number of bad events
	 */
	void record(ClubId club, Objective objective, long good, long bad);

}
