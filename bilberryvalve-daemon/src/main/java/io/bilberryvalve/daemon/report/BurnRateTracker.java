package io.bilberryvalve.daemon.report;

import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentSkipListMap;

import io.bilberryvalve.model.ClubId;

/**
 * Tracks how fast each club consumes the error budgets of its service-level objectives,
 * over windows of 5 minutes, 1 hour, 6 hours and 3 days. A burn rate of 1 uses up the
 * budget exactly; above 1 the objective is missed. Safe for use by several threads.
 */
public final class BurnRateTracker implements ServiceLevelRecorder {

	private static final List<Duration> WINDOWS = List.of(Duration.ofMinutes(5), Duration.ofHours(1),
			Duration.ofHours(6), Duration.ofDays(3));

	private final Clock clock;

	private final Map<ClubId, Map<Objective, List<RollingCounter>>> counters = new ConcurrentHashMap<>();

	/**
	 * Creates a tracker without events.
	 * @param clock provides the time of events
	 */
	public BurnRateTracker(Clock clock) {
		this.clock = clock;
	}

	@Override
	public void record(ClubId club, Objective objective, long good, long bad) {
		for (RollingCounter counter : this.counters.computeIfAbsent(club, this::create).get(objective)) {
			counter.add(good, bad);
		}
	}

	/**
	 * Returns the event counts of all clubs for which events have been recorded.
	 * @return a row for each club, objective and window, sorted in this order
	 */
	public List<BurnRateRow> rows() {
		List<BurnRateRow> rows = new ArrayList<>();
		new ConcurrentSkipListMap<>(this.counters)
			.forEach((club, objectives) -> objectives.forEach((objective, windows) -> {
				for (int i = 0; i < WINDOWS.size(); i++) {
					RollingCounter counter = windows.get(i);
					rows.add(new BurnRateRow(club, objective, WINDOWS.get(i), counter.good(), counter.bad()));
				}
			}));
		return rows;
	}

	private Map<Objective, List<RollingCounter>> create(ClubId club) {
		Map<Objective, List<RollingCounter>> objectives = new EnumMap<>(Objective.class);
		for (Objective objective : Objective.values()) {
			objectives.put(objective,
					WINDOWS.stream().map((window) -> new RollingCounter(this.clock, window)).toList());
		}
		return objectives;
	}

}
