package io.bilberryvalve.policy.queue;

import java.util.Random;
import java.util.stream.LongStream;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class RetryAfterTests {

	private final RetryAfter retryAfter = new RetryAfter(new Random(1));

	// Guards against callers that retry before a lost card is replaced, find no slot
	// again and use up their attempts.
	@Example
	void callersRetryWhenLostCapacityIsReplaced() {
		long[] delays = LongStream.range(0, 500).map((i) -> this.retryAfter.draw(200, true)).sorted().toArray();
		assertThat(delays[0]).isGreaterThanOrEqualTo(1500);
		assertThat(delays[delays.length - 1]).isLessThanOrEqualTo(5000);
		// No half second contains more than a quarter of the delays.
		for (int i = 0; i + 125 < delays.length; i++) {
			assertThat(delays[i + 125] - delays[i]).isGreaterThan(500);
		}
	}

	@Example
	void callersOfABurstRetryWhenTheQueueHasDrained() {
		assertThat(LongStream.range(0, 100).map((i) -> this.retryAfter.draw(400, false)).boxed())
			.allMatch((millis) -> millis >= 400 && millis <= 600);
	}

	@Example
	void longQueueCountsAlsoDuringARepair() {
		assertThat(this.retryAfter.draw(9000, true)).isBetween(9000L, 13500L);
	}

}
