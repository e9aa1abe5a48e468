package io.bilberryvalve.policy.queue;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class WaitQueueTests {

	private final WaitQueue<String> line = new WaitQueue<>();

	private static WaitQueue.WaitLimits until(long onTime, long giveUp) {
		return new WaitQueue.WaitLimits(onTime, giveUp);
	}

	// Guards against late requests that keep those from places that can still be on time.
	@Example
	void requestsThatCanBeOnTimeGoFirst() {
		this.line.offer("late", 1, 0, until(100, 2000));
		this.line.offer("fresh", 1, 150, until(450, 2000));
		assertThat(this.line.peek(200, 5)).containsExactly("fresh", "late");
	}

	@Example
	void priorityPrecedesArrival() {
		this.line.offer("second", 1, 0, until(500, 2000));
		this.line.offer("first", 0, 10, until(500, 2000));
		assertThat(this.line.peek(20, 5)).containsExactly("first", "second");
	}

	// Replays a burst at ten times the rate of places: the line stays short, and those
	// that
	// would wait in vain are rejected on arrival.
	@Example
	void burstIsRejectedOnArrivalInsteadOfWaitingInVain() {
		List<Long> retries = new ArrayList<>();
		for (int i = 0; i < 200; i++) {
			long now = i * 5L;
			long retry = this.line.offer("request-" + i, 1, now, until(now + 300, now + 1000));
			if (retry > 0) {
				retries.add(retry);
			}
			if (i % 10 == 9) {
				this.line.expire(now);
				String next = this.line.peek(now, 1).get(0);
				this.line.remove(next);
				this.line.recordAdmission(now);
			}
		}
		assertThat(retries).hasSizeGreaterThan(100).allMatch((retry) -> retry >= 200 && retry <= 3000);
		assertThat(this.line.size()).isLessThan(30);
	}

	@Example
	void requestThatWaitedItsTimeIsRejected() {
		this.line.offer("request", 1, 0, until(100, 400));
		assertThat(this.line.expire(399)).isEmpty();
		assertThat(this.line.expire(400)).containsExactly("request");
		assertThat(this.line.size()).isZero();
	}

	// Guards against a large request at the head that blocks all others: several are
	// offered.
	@Example
	void requestsBehindTheFirstAreOfferedToo() {
		for (int i = 0; i < 5; i++) {
			this.line.offer("request-" + i, 1, i, until(1000, 2000));
		}
		assertThat(this.line.peek(10, 3)).containsExactly("request-0", "request-1", "request-2");
		assertThat(this.line.remove(this.line.peek(10, 2).get(1))).isTrue();
		assertThat(this.line.peek(10, 3)).containsExactly("request-0", "request-2", "request-3");
	}

}
