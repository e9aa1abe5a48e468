package io.bilberryvalve.policy.retry;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class RetryShareProperties {

	private static final int DAEMONS = 4;

	private static final double RATIO = 0.2;

	private static final int SLACK = 202;

	private static final int WINDOW = 10_000;

	private static final int END = 60_000;

	private static final int STEP = 100;

	private final ManualClock clock = new ManualClock();

	private RetryBudget budget() {
		return new RetryShare(this.clock, RATIO, SLACK, Duration.ofMillis(WINDOW), () -> DAEMONS).budget();
	}

	// Guards against a common budget that is exceeded in some window: all daemons
	// retry as often as they may, under changing load and with restarts that lose
	// their counts.
	@Property(seed = "41", tries = 60)
	void allDaemonsTogetherStayWithinTheBudgetInAnyWindow(@ForAll @IntRange(min = 0, max = 100_000) int seed) {
		Random random = new Random(seed);
		int[] requests = new int[END / STEP];
		int[] retries = new int[END / STEP];
		List<RetryBudget> budgets = new ArrayList<>();
		for (int i = 0; i < DAEMONS; i++) {
			budgets.add(budget());
		}
		int lastRestart = -WINDOW;
		for (int step = 0; step < END / STEP; step++) {
			this.clock.advance(Duration.ofMillis(STEP));
			int rate = (step / 50 % 2 == 0) ? 2 : random.nextInt(4);
			if (step * STEP - lastRestart > WINDOW / 2 && random.nextInt(40) == 0) {
				lastRestart = step * STEP;
				budgets.replaceAll((old) -> budget());
			}
			for (RetryBudget budget : budgets) {
				for (int i = 0; i < rate; i++) {
					budget.recordRequest();
					requests[step]++;
				}
				while (random.nextInt(20) != 0 && budget.tryRetry()) {
					retries[step]++;
				}
			}
		}
		int steps = WINDOW / STEP;
		for (int end = 2 * steps; end < END / STEP; end++) {
			int most = Math.max(sum(requests, end - steps, end), Math.max(sum(requests, end - 2 * steps, end - steps),
					sum(requests, end - 3 * steps / 2, end - steps / 2)));
			assertThat(sum(retries, end - steps, end)).isLessThanOrEqualTo((int) (RATIO * most + SLACK));
		}
	}

	private static int sum(int[] values, int from, int end) {
		int sum = 0;
		for (int i = from; i < end; i++) {
			sum += values[i];
		}
		return sum;
	}

	// Guards against streams that are given up after the loss of a runner: of those
	// that break at the same moment, more than 180 can be retried.
	@Example
	void manyStreamsThatBreakTogetherAreRetried() {
		RetryBudget budget = budget();
		for (int second = 0; second < 30; second++) {
			this.clock.advance(Duration.ofSeconds(1));
			for (int i = 0; i < 11; i++) {
				budget.recordRequest();
			}
		}
		int granted = 0;
		while (budget.tryRetry()) {
			granted++;
		}
		assertThat(DAEMONS * granted).isGreaterThan(180);
	}

}
