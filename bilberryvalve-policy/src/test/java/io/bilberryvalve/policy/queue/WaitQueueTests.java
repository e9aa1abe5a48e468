package io.bilberryvalve.policy.queue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class WaitQueueTests {

	private final WaitQueue<String> queue = new WaitQueue<>();

	private final RetryAfter retryAfter = new RetryAfter(new Random(1));

	private static WaitQueue.WaitLimits until(long onTime, long giveUp) {
		return new WaitQueue.WaitLimits(onTime, giveUp);
	}

	// Returns 0 if the request was added, otherwise the delay of its caller.
	private long offer(String item, int priority, long now, WaitQueue.WaitLimits limits) {
		return this.queue.offer(item, new RequestDemand(priority, "team", 1, limits), now)
			.map((refusal) -> this.retryAfter.draw(refusal, false))
			.orElse(0L);
	}

	// Guards against late requests that take the slots of requests that can still be
	// answered on time.
	@Example
	void requestsThatCanBeOnTimeGoFirst() {
		offer("late", 1, 0, until(100, 2000));
		offer("fresh", 1, 150, until(450, 2000));
		assertThat(this.queue.peek(200, 5)).containsExactly("fresh", "late");
	}

	@Example
	void priorityPrecedesArrival() {
		offer("second", 1, 0, until(500, 2000));
		offer("first", 0, 10, until(500, 2000));
		assertThat(this.queue.peek(20, 5)).containsExactly("first", "second");
	}

	// Guards against requests that become late although a slot in time was theirs: the
	// later one of a team has less time.
	@Example
	void earliestDeadlineGoesFirstWithinATeam() {
		offer("patient", 1, 0, until(900, 2000));
		offer("hurried", 1, 10, until(300, 2000));
		assertThat(this.queue.peek(20, 5)).containsExactly("hurried", "patient");
		assertThat(this.queue.peek(300, 5)).containsExactly("patient", "hurried");
	}

	// Guards against streams that stop for their callers while new requests are served.
	@Example
	void resumedStreamsGoFirst() {
		offer("urgent", 0, 0, until(100, 2000));
		offer("resumed", -1, 10, until(5000, 1010));
		assertThat(this.queue.peek(20, 5)).containsExactly("resumed", "urgent");
	}

	// A burst at ten times the rate of free slots: the queue stays short, and requests
	// that could not be served within their limit are rejected on arrival.
	@Example
	void burstIsRejectedOnArrivalInsteadOfAfterWaiting() {
		List<Long> retries = new ArrayList<>();
		for (int i = 0; i < 200; i++) {
			long now = i * 5L;
			long retry = offer("request-" + i, 1, now, until(now + 300, now + 1000));
			if (retry > 0) {
				retries.add(retry);
			}
			if (i % 10 == 9) {
				this.queue.expire(now);
				String next = this.queue.peek(now, 1).get(0);
				this.queue.dispatch(now, 1, next::equals);
			}
		}
		assertThat(retries).hasSizeGreaterThan(100).allMatch((retry) -> retry >= 200 && retry <= 3000);
		assertThat(this.queue.size()).isLessThan(30);
	}

	// Guards against late requests for which capacity is reserved at once.
	@Example
	void requestThatIsLateOnArrivalIsPassedOverForHalfOfItsWaitLimit() {
		offer("large", 1, 1000, until(500, 2000));
		for (int i = 0; i < 20; i++) {
			offer("small" + i, 1, 1000, until(600, 3000));
			List<String> granted = this.queue.dispatch(1000 + i * 50L, 1000, (item) -> item.startsWith("small"));
			assertThat(granted).as("after %d ms", i * 50).hasSize((i < 10) ? 1 : 0);
		}
	}

	@Example
	void requestIsRejectedWhenItsWaitLimitIsReached() {
		offer("request", 1, 0, until(100, 400));
		assertThat(this.queue.expire(399)).isEmpty();
		assertThat(this.queue.expire(400)).containsExactly("request");
		assertThat(this.queue.size()).isZero();
	}

	// Guards against a large request at the head that blocks all others: the queue
	// returns several requests.
	@Example
	void requestsBehindTheFirstAreReturnedToo() {
		for (int i = 0; i < 5; i++) {
			offer("request-" + i, 1, i, until(1000, 2000));
		}
		assertThat(this.queue.peek(10, 3)).containsExactly("request-0", "request-1", "request-2");
		assertThat(this.queue.remove(this.queue.peek(10, 2).get(1), 10)).isTrue();
		assertThat(this.queue.peek(10, 3)).containsExactly("request-0", "request-2", "request-3");
	}

}
