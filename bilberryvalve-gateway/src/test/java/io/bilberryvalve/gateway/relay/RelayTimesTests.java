package io.bilberryvalve.gateway.relay;

import java.time.Duration;
import java.util.List;

import io.bilberryvalve.gateway.route.RequestKind;
import io.bilberryvalve.gateway.route.Route;
import io.bilberryvalve.policy.line.WaitingLine;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class RelayTimesTests {

	private static Route route(RequestKind kind) {
		return new Route("r", "h", "/", kind, Duration.ofSeconds(20), Duration.ofMillis(500), Duration.ofMillis(200), 1,
				List.of(new Route.WeightedService("s", 1)), 2, false, true);
	}

	// Guards against streams that are held until their callers leave, after 2 s without
	// an event.
	@Example
	void streamWaitsLessThanItsCallerDoes() {
		WaitingLine.Patience patience = RelayTimes.patience(route(RequestKind.STREAMING), 1000, 21_000);
		assertThat(patience.onTimeUntil()).isEqualTo(1300);
		assertThat(patience.giveUpAt()).isEqualTo(2000);
	}

	// Guards against plain requests that get a place when no time is left to run.
	@Example
	void plainRequestWaitsForPartOfItsTime() {
		WaitingLine.Patience patience = RelayTimes.patience(route(RequestKind.IDEMPOTENT), 1000, 1600);
		assertThat(patience.giveUpAt()).isEqualTo(1300);
	}

	@Example
	void brokenStreamGoesBeforeLateRequests() {
		WaitingLine.Patience patience = RelayTimes.resumption(5000, 21_000);
		assertThat(patience.onTimeUntil()).isEqualTo(21_000);
		assertThat(patience.giveUpAt()).isEqualTo(6000);
	}

	// Guards against streams that are taken for stalled while an engine reads long
	// prompts.
	@Example
	void stallIsLongerThanUsualPauses() {
		assertThat(RelayTimes.stallMillis(route(RequestKind.STREAMING), true)).isEqualTo(600);
		assertThat(RelayTimes.stallMillis(route(RequestKind.STREAMING), false)).isEqualTo(1100);
		assertThat(RelayTimes.stallMillis(route(RequestKind.IDEMPOTENT), false)).isEqualTo(1250);
	}

}
