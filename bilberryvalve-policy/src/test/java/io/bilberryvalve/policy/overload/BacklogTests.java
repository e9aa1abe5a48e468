package io.bilberryvalve.policy.overload;

import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class BacklogTests {

	private final Backlog backlog = new Backlog();

	// Guards against an overloaded daemon that reads all requests late and serves none of
	// them in time.
	@Example
	void rejectsWhileTheLoopStaysLate() {
		this.backlog.record(1200);
		this.backlog.record(1500);
		assertThat(this.backlog.rejects()).isTrue();
		assertThat(this.backlog.millis()).isEqualTo(1200);
		this.backlog.record(20);
		assertThat(this.backlog.rejects()).isFalse();
		assertThat(this.backlog.millis()).isEqualTo(20);
	}

	// Guards against requests that are rejected after a pause of the process, although
	// they can be served at once.
	@Example
	void singleDelayIsNoBacklog() {
		this.backlog.record(3);
		this.backlog.record(4000);
		assertThat(this.backlog.rejects()).isFalse();
		this.backlog.record(2);
		assertThat(this.backlog.millis()).isEqualTo(2);
	}

	@Example
	void departuresMayBeHiddenBehindAShorterBacklog() {
		this.backlog.record(250);
		assertThat(this.backlog.mayHideDepartures()).isFalse();
		this.backlog.record(250);
		assertThat(this.backlog.mayHideDepartures()).isTrue();
		this.backlog.record(249);
		assertThat(this.backlog.mayHideDepartures()).isFalse();
	}

	@Example
	void shorterBacklogRejectsNothing() {
		this.backlog.record(999);
		this.backlog.record(999);
		assertThat(this.backlog.rejects()).isFalse();
		assertThat(this.backlog.millis()).isEqualTo(999);
		this.backlog.record(-5);
		assertThat(this.backlog.millis()).isZero();
	}

}
