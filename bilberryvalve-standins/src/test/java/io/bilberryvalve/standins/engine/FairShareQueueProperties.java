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

	/** Chunks of 5 ms are rounded up to whole nanoseconds, and a job has at most 11. */
	private static final long ROUNDING = 11;

	private static final int CHUNK_MILLIS = 5;

	private static final double CHUNK = CHUNK_MILLIS / 1000.0;

	// Guards against a rate that differs from the configured one when streams share it,
	// and against long jobs that delay short ones by more than a chunk.
	@Property(seed = "21")
	void jobsTogetherTakeTheSumOfTheirTimes(
			@ForAll @Size(min = 1, max = 40) List<@IntRange(min = 1, max = 50) Integer> millis) {
		FairShareQueue queue = new FairShareQueue();
		List<Integer> done = new ArrayList<>();
		long total = 0;
		for (int job : millis) {
			queue.add(job / 1000.0, CHUNK, 1, () -> done.add(job), 0);
			total += job * MILLI;
		}
		run(queue, total - MILLI / 2);
		assertThat(done.size()).isLessThan(millis.size());
		run(queue, total + millis.size() * ROUNDING);
		assertThat(done).hasSameSizeAs(millis);
		for (int i = 1; i < done.size(); i++) {
			assertThat(done.get(i)).isGreaterThanOrEqualTo(done.get(i - 1) - CHUNK_MILLIS);
		}
	}

	// Guards against priorities that have no effect or starve others. The heavier job
	// ends
	// after 45 ms, or up to a chunk earlier.
	@Example
	void sharesInProportionToWeights() {
		FairShareQueue queue = new FairShareQueue();
		List<Integer> done = new ArrayList<>();
		queue.add(0.030, CHUNK, 2, () -> done.add(2), 0);
		queue.add(0.030, CHUNK, 1, () -> done.add(1), 0);
		run(queue, 39 * MILLI);
		assertThat(done).isEmpty();
		run(queue, 46 * MILLI);
		assertThat(done).containsExactly(2);
		run(queue, 61 * MILLI);
		assertThat(done).containsExactly(2, 1);
	}

	// Guards against stages that take turns: if jobs of equal length all end at the same
	// time, the next stage idles until then.
	@Example
	void equalJobsLeaveOneByOne() {
		FairShareQueue queue = new FairShareQueue();
		List<Integer> done = new ArrayList<>();
		for (int job = 1; job <= 4; job++) {
			int number = job;
			queue.add(0.002, CHUNK, 1, () -> done.add(number), 0);
		}
		run(queue, 4 * MILLI);
		assertThat(done).containsExactly(1, 2);
	}

	private static void run(FairShareQueue queue, long nowNanos) {
		queue.advance(nowNanos).forEach(Runnable::run);
	}

}
