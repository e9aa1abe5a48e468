package io.bilberryvalve.platform.watch;

import java.time.Duration;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class PollBudgetTests {

	private static final PollBudget BUDGET = new PollBudget(2, 2000);

	@Example
	void fewDaemonsPollOften() {
		assertThat(BUDGET.pollWait(4)).isEqualTo(PollBudget.SHORTEST_WAIT);
		assertThat(BUDGET.pollWait(3100)).isEqualTo(Duration.ofMillis(6200));
	}

	// Guards against polls that use up the reads of the store in a large fleet.
	@Property
	void pollsLeaveHalfOfTheReads(@ForAll @IntRange(min = 1, max = 12_000) int daemons) {
		double callsPerSecond = daemons * 2 * 1000.0 / BUDGET.pollWait(daemons).toMillis();
		assertThat(callsPerSecond).isLessThanOrEqualTo(1001);
		assertThat(BUDGET.pollWait(daemons)).isBetween(PollBudget.SHORTEST_WAIT, PollBudget.LONGEST_WAIT);
	}

}
