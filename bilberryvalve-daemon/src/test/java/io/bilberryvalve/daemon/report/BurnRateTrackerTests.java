package io.bilberryvalve.daemon.report;

import java.time.Duration;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class BurnRateTrackerTests {

	private static final ClubId PAVIO = new ClubId("pavio");

	private final ManualClock clock = new ManualClock().advance(Duration.ofDays(100));

	private final BurnRateTracker tracker = new BurnRateTracker(this.clock);

	// Guards against a burn rate that is not divided by the error budget.
	@Example
	void reportsRateRelativeToErrorBudget() {
		this.tracker.record(PAVIO, Objective.FIRST_TOKEN, 90, 10);
		assertThat(burnRate(Objective.FIRST_TOKEN, Duration.ofMinutes(5))).isCloseTo(2.0, within(1e-9));
		assertThat(burnRate(Objective.AVAILABILITY, Duration.ofMinutes(5))).isZero();
	}

	// Guards against events that stay in a window after its length has passed.
	@Example
	void forgetsEventsAfterTheWindow() {
		this.tracker.record(PAVIO, Objective.AVAILABILITY, 0, 5);
		this.clock.advance(Duration.ofMinutes(6));
		this.tracker.record(PAVIO, Objective.AVAILABILITY, 5, 0);
		assertThat(burnRate(Objective.AVAILABILITY, Duration.ofMinutes(5))).isZero();
		assertThat(burnRate(Objective.AVAILABILITY, Duration.ofHours(1))).isCloseTo(500, within(1e-6));
	}

	// Guards against a slot that is reused after a long pause without being reset.
	@Example
	void clearsSlotsAfterALongPause() {
		this.tracker.record(PAVIO, Objective.AVAILABILITY, 0, 5);
		this.clock.advance(Duration.ofDays(30));
		assertThat(this.tracker.rows()).allSatisfy((row) -> assertThat(row.bad()).isZero());
	}

	private double burnRate(Objective objective, Duration window) {
		return this.tracker.rows()
			.stream()
			.filter((row) -> row.objective() == objective && row.window().equals(window))
			.mapToDouble(BurnRateRow::burnRate)
			.sum();
	}

}
