package io.bilberryvalve.policy.retry;

import java.time.Duration;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;

import io.bilberryvalve.model.Outcome;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.assertj.core.api.Assertions.assertThat;

class RetryTests {

	private final ManualClock clock = new ManualClock();

	// Guards against retry storms: concurrent retries must not exceed the budget.
	@Property(seed = "81", tries = 20)
	void concurrentRetriesStayWithinBudget(@ForAll @IntRange(min = 100, max = 2000) int requests) {
		RetryBudget budget = new RetryBudget(this.clock, 0.1, 0, Duration.ofSeconds(10));
		this.clock.advance(Duration.ofSeconds(20));
		IntStream.range(0, requests).forEach((i) -> budget.recordRequest());
		AtomicInteger permitted = new AtomicInteger();
		CompletableFuture<?>[] threads = IntStream.range(0, 4).mapToObj((i) -> CompletableFuture.runAsync(() -> {
			for (int j = 0; j < requests; j++) {
				if (budget.tryRetry()) {
					permitted.incrementAndGet();
				}
			}
		})).toArray(CompletableFuture<?>[]::new);
		CompletableFuture.allOf(threads).join();
		assertThat(permitted).hasValue(requests / 10);
	}

	// Guards against requests that permit retries although they have left the window.
	@Example
	void windowSlides() {
		RetryBudget budget = new RetryBudget(this.clock, 0.1, 1, Duration.ofSeconds(10));
		IntStream.range(0, 50).forEach((i) -> budget.recordRequest());
		this.clock.advance(Duration.ofSeconds(9));
		assertThat(IntStream.range(0, 10).filter((i) -> budget.tryRetry()).count()).isEqualTo(5);
		this.clock.advance(Duration.ofSeconds(1));
		assertThat(budget.tryRetry()).as("requests have left the window, retries have not").isFalse();
		this.clock.advance(Duration.ofSeconds(9));
		assertThat(budget.tryRetry()).as("floor").isTrue();
	}

	// Guards against a retry of a request that may have been run and is not
	// idempotent.
	@Example
	void retriesOnlyWhatIsSafe() {
		RetryPolicy policy = new RetryPolicy(this.clock, new RetryBudget(this.clock), new Random(1), 3,
				Duration.ofMillis(50), Duration.ofSeconds(1));
		Deadline deadline = Deadline.after(this.clock, Duration.ofSeconds(5));
		assertThat(policy.decide(attempt(1, Outcome.UNKNOWN, false), deadline)).isInstanceOf(RetryPolicy.Stop.class);
		assertThat(policy.decide(attempt(1, Outcome.COMPLETED, true), deadline)).isInstanceOf(RetryPolicy.Stop.class);
		assertThat(policy.decide(attempt(1, Outcome.UNKNOWN, true), deadline)).isInstanceOf(RetryPolicy.Retry.class);
		assertThat(policy.decide(attempt(2, Outcome.NOT_RUN, false), deadline)).isInstanceOf(RetryPolicy.Retry.class);
		assertThat(policy.decide(attempt(3, Outcome.NOT_RUN, false), deadline)).isInstanceOf(RetryPolicy.Stop.class);
		this.clock.advance(Duration.ofSeconds(5));
		assertThat(policy.decide(attempt(1, Outcome.NOT_RUN, true), deadline)).isInstanceOf(RetryPolicy.Stop.class);
	}

	@Example
	void waitsAtLeastForRetryAfter() {
		RetryPolicy policy = new RetryPolicy(this.clock, new RetryBudget(this.clock), new Random(1), 3,
				Duration.ofMillis(50), Duration.ofSeconds(1));
		Deadline deadline = Deadline.after(this.clock, Duration.ofSeconds(5));
		RetryPolicy.Attempt delayed = new RetryPolicy.Attempt(1, Outcome.NOT_RUN, true, Duration.ofSeconds(2));
		assertThat(policy.decide(delayed, deadline)).isEqualTo(new RetryPolicy.Retry(Duration.ofSeconds(2)));
	}

	// Guards against a silent connection that is kept because this side still sends
	// data.
	@Example
	void onlyAnswerEndsSilence() {
		SilenceDetector detector = new SilenceDetector(this.clock, Duration.ofSeconds(2));
		this.clock.advance(Duration.ofMillis(1999));
		assertThat(detector.limitReached()).isFalse();
		detector.recordAnswer();
		this.clock.advance(Duration.ofSeconds(2));
		assertThat(detector.limitReached()).isTrue();
	}

	private static RetryPolicy.Attempt attempt(int number, Outcome outcome, boolean idempotent) {
		return new RetryPolicy.Attempt(number, outcome, idempotent, null);
	}

}
