package io.bilberryvalve.policy.membership;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ShutdownScheduleTests {

	private final ShutdownSchedule plan = new ShutdownSchedule(3000, 7500);

	// Callers still hold the address of a leaving daemon for a while.
	@Example
	void acceptsAllAtFirst() {
		assertThat(this.plan.refuses(2999, 60_000, true)).isFalse();
	}

	@Example
	void sendsCallersToOthersLater() {
		assertThat(this.plan.refuses(3000, 1, true)).isTrue();
	}

	// Replays three daemons that leave in turn while the fourth loses power.
	@Example
	void acceptsWhatEndsInTimeWhileNoOtherServes() {
		assertThat(this.plan.refuses(4000, 3500, false)).isFalse();
		assertThat(this.plan.refuses(4000, 3501, false)).isTrue();
		assertThat(this.plan.refuses(7400, 101, false)).isTrue();
	}

	// Guards against a daemon that stops while callers still hold its address, while it
	// has
	// requests, or while it is the only one.
	@Example
	void stopsWhenNobodyNeedsItOrItsTimeIsOver() {
		assertThat(this.plan.mayStop(2999, 0, true)).isFalse();
		assertThat(this.plan.mayStop(3000, 1, true)).isFalse();
		assertThat(this.plan.mayStop(3000, 0, false)).isFalse();
		assertThat(this.plan.mayStop(3000, 0, true)).isTrue();
		assertThat(this.plan.mayStop(7500, 5, false)).isTrue();
	}

}
