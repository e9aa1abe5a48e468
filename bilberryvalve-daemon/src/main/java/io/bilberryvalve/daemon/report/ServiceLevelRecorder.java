package io.bilberryvalve.daemon.report;

import io.bilberryvalve.model.ClubId;

/**
 * Records the events by which service-level objectives are measured.
 */
@FunctionalInterface
public interface ServiceLevelRecorder {

	/**
	 * Records events that happen now.
	 * @param club club of the caller whose request caused the events
	 * @param objective the objective by which the events were judged
	 * @param good number of events that met the objective
	 * @param bad number of events that missed the objective
	 */
	void record(ClubId club, Objective objective, long good, long bad);

}
