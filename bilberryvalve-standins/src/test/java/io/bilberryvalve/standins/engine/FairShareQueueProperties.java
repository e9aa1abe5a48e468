package io.bilberryvalve.standins.engine;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import static org.assertj.core.api.Assertions.assertThat;

class FairShareQueueProperties {

	private static final long MILLI = 1_000_000;

	// Guards against a rate that differs from the configured one when streams share it.
	@Property(seed = "21")
	void jobsTogetherTakeTheSumOfTheirTimes(
			@ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 50) Integer> millis) {
		FairShareQueue queue = new FairShareQueue();
		List<Integer> done = new ArrayList<>();
		long total = 0;
		for (int job : millis) {
			queue.add(job / 1000.0, 1, () -> done.add(job), 0);
			total += job * MILLI;
		}
		run(queue, total - MILLI / 2);
		assertThat(done.size()).isLessThan(millis.size());
		run(queue, total + millis.size());
		assertThat(done).hasSameSizeAs(millis).isSorted();
	}

	// Guards against priorities that have no effect or starve others.
	@Example
	void sharesInProportionToWeights() {
		FairShareQueue queue = new FairShareQueue();
		List<Integer> done = new ArrayList<>();
		queue.add(0.030, 2, () -> done.add(2), 0);
		queue.add(0.030, 1, () -> done.add(1), 0);
		run(queue, 44 * MILLI);
		assertThat(done).isEmpty();
		run(queue, 46 * MILLI);
		assertThat(done).containsExactly(2);
		run(queue, 61 * MILLI);
		assertThat(done).containsExactly(2, 1);
	}

	private static void run(FairShareQueue queue, long nowNanos) {
		queue.advance(nowNanos).forEach(Runnable::run);
	}

}
