package io.bilberryvalve.gateway.http;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.bilberryvalve.model.clock.ManualClock;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ReadControlTests {

	private final ManualClock clock = new ManualClock();

	private final EmbeddedChannel channel = new EmbeddedChannel();

	private final ReadControl control = new ReadControl(this.channel, this.clock::millis);

	private void receive(int parts) {
		for (int i = 0; i < parts; i++) {
			this.control.countPart();
		}
		this.control.readCompleted();
	}

	private void advance(long millis) {
		this.clock.advance(Duration.ofMillis(millis));
		this.channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
		this.channel.runScheduledPendingTasks();
	}

	private boolean reads() {
		return this.channel.config().isAutoRead();
	}

	// Guards against a runner that sends without end and keeps the event loop from other
	// connections.
	@Example
	void partsWithoutEndAreReadAtALimitedRate() {
		int received = 0;
		for (int millis = 0; millis < 10_000; millis += 10) {
			if (reads()) {
				receive(500);
				received += 500;
			}
			advance(10);
		}
		assertThat(received).isBetween(40_000, 52_000);
	}

	// Guards against a pause in a response that a sound runner sends.
	@Example
	void fastStreamIsNotSlowedDown() {
		for (int millis = 0; millis < 10_000; millis += 10) {
			receive(40);
			assertThat(reads()).isTrue();
			advance(10);
		}
	}

	@Example
	void readingGoesOnOnceBothReasonsToPauseHaveEnded() {
		receive(1500);
		assertThat(reads()).isFalse();
		assertThat(this.control.isThrottled()).isTrue();
		this.control.setPaused(true);
		advance(200);
		assertThat(this.control.isThrottled()).isFalse();
		assertThat(reads()).isFalse();
		this.control.setPaused(false);
		assertThat(reads()).isTrue();
	}

	// Guards against a caller that reads again and thereby ends the limit of the rate.
	@Example
	void receiverDoesNotEndTheLimit() {
		receive(1500);
		this.control.setPaused(true);
		this.control.setPaused(false);
		assertThat(reads()).isFalse();
	}

}
