package io.bilberryvalve.policy.membership;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ShutdownScheduleTests {

	private final ShutdownSchedule schedule = new ShutdownSchedule(3000, 7500);

	// Guards against refused requests of callers that still use the address of a
	// leaving daemon.
	@Example
	void acceptsAllRequestsAtFirst() {
		assertThat(this.schedule.refuses(2999, 60_000, true, true)).isFalse();
		assertThat(this.schedule.refuses(2999, 4501, false, true)).isFalse();
		assertThat(this.schedule.refuses(2999, 60_000, false, false)).isFalse();
	}

	// Guards against bookings that are cut off when the daemon stops, so that nobody
	// knows whether they were made.
	@Example
	void refusesWhatMayBeCutOffAndCannotBeRepeated() {
		assertThat(this.schedule.refuses(0, 7501, false, true)).isTrue();
		assertThat(this.schedule.refuses(2999, 4502, false, true)).isTrue();
	}

	// Guards against streams that are sent to runners although the daemon stops before
	// their end.
	@Example
	void answerThatWouldBeCutOffOutlastsTheDaemon() {
		assertThat(this.schedule.outlasts(2000, 5500, true)).isFalse();
		assertThat(this.schedule.outlasts(2000, 5501, true)).isTrue();
		assertThat(this.schedule.outlasts(2000, 5501, false)).isFalse();
	}

	@Example
	void refusesRequestsLaterIfOthersServe() {
		assertThat(this.schedule.refuses(3000, 1, true, true)).isTrue();
	}

	// Guards against requests that no daemon accepts: three daemons leave one after
	// another while the fourth loses power.
	@Example
	void acceptsWhatEndsInTimeWhileNoOtherServes() {
		assertThat(this.schedule.refuses(4000, 3500, false, false)).isFalse();
		assertThat(this.schedule.refuses(4000, 3501, true, false)).isTrue();
		assertThat(this.schedule.refuses(7400, 101, true, false)).isTrue();
	}

	// Guards against a daemon that stops while callers still use its address, while
	// it has requests in progress, or while no other daemon serves.
	@Example
	void stopsWhenNoCallerNeedsItOrItsTimeIsOver() {
		assertThat(this.schedule.mayStop(2999, 0, true)).isFalse();
		assertThat(this.schedule.mayStop(3000, 1, true)).isFalse();
		assertThat(this.schedule.mayStop(3000, 0, false)).isFalse();
		assertThat(this.schedule.mayStop(3000, 0, true)).isTrue();
		assertThat(this.schedule.mayStop(7500, 5, false)).isTrue();
	}

}
