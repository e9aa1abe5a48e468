package io.bilberryvalve.policy.queue;

import java.util.Random;
import java.util.stream.LongStream;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class RetryAfterTests {

	private final RetryAfter time = new RetryAfter(new Random(1));

	// Replays the seconds after the loss of a card. Guards against callers that come back
	// before it is replaced, find no place again and have used up their attempts.
	@Example
	void callersReturnWhenLostCapacityIsReplaced() {
		long[] times = LongStream.range(0, 500).map((i) -> this.time.draw(200, true)).sorted().toArray();
		assertThat(times[0]).isGreaterThanOrEqualTo(1500);
		assertThat(times[times.length - 1]).isLessThanOrEqualTo(5000);
		// No half second gets more than a quarter of them.
		for (int i = 0; i + 125 < times.length; i++) {
			assertThat(times[i + 125] - times[i]).isGreaterThan(500);
		}
	}

	@Example
	void callersOfABurstReturnWhenTheLineHasDrained() {
		assertThat(LongStream.range(0, 100).map((i) -> this.time.draw(400, false)).boxed())
			.allMatch((millis) -> millis >= 400 && millis <= 600);
	}

	@Example
	void longLineCountsAlsoDuringARepair() {
		assertThat(this.time.draw(9000, true)).isBetween(9000L, 13500L);
	}

}
