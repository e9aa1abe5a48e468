package io.bilberryvalve.gateway.relay;

import java.time.Duration;
import java.util.List;

import io.bilberryvalve.gateway.route.RequestKind;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.policy.queue.WaitQueue;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class RelayTimeoutsTests {

	private static Route route(RequestKind kind) {
		return new Route("r", "h", "/", kind, Duration.ofSeconds(20), Duration.ofMillis(500), Duration.ofMillis(200), 1,
				List.of(new Route.WeightedService("s", 1)), 2, false, true);
	}

	// Guards against streams that wait for a slot until their callers disconnect,
	// which they do after 2 s without an event.
	@Example
	void streamWaitsLessThanItsCallerDoes() {
		WaitQueue.WaitLimits waitLimits = RelayTimeouts.waitLimits(route(RequestKind.STREAMING), 1000, 21_000);
		assertThat(waitLimits.onTimeUntil()).isEqualTo(1300);
		assertThat(waitLimits.rejectAt()).isEqualTo(2000);
	}

	// Guards against plain requests that get a slot only when no time is left to run.
	@Example
	void plainRequestWaitsForPartOfItsTime() {
		WaitQueue.WaitLimits waitLimits = RelayTimeouts.waitLimits(route(RequestKind.IDEMPOTENT), 1000, 1600);
		assertThat(waitLimits.rejectAt()).isEqualTo(1300);
	}

	@Example
	void interruptedStreamPrecedesLateRequests() {
		WaitQueue.WaitLimits waitLimits = RelayTimeouts.resumedWaitLimits(5000, 21_000);
		assertThat(waitLimits.onTimeUntil()).isEqualTo(21_000);
		assertThat(waitLimits.rejectAt()).isEqualTo(6000);
	}

	// Guards against streams that count as stalled while an engine processes long
	// prompts.
	@Example
	void stallIsLongerThanUsualPauses() {
		assertThat(RelayTimeouts.stallMillis(route(RequestKind.STREAMING), true)).isEqualTo(600);
		assertThat(RelayTimeouts.stallMillis(route(RequestKind.STREAMING), false)).isEqualTo(1100);
		assertThat(RelayTimeouts.stallMillis(route(RequestKind.IDEMPOTENT), false)).isEqualTo(1250);
	}

}
