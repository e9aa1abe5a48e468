package io.bilberryvalve.policy.membership;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.bilberryvalve.model.Address;
import io.bilberryvalve.model.DataCentreId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class MemberTableTests {

	private final ManualClock clock = new ManualClock();

	private final MemberTable table = new MemberTable(member("vm-0", 1), this.clock, MembershipTimeouts.defaults());

	@Example
	void silenceMakesSuspectThenAbsentThenRemoved() {
		beat(1, 1, false);
		advance(1999);
		assertThat(state()).isEqualTo(MemberState.LIVE);
		advance(1);
		assertThat(state()).isEqualTo(MemberState.SUSPECT);
		advance(3000);
		assertThat(state()).isEqualTo(MemberState.ABSENT);
		advance(600_000);
		assertThat(this.table.members()).isEmpty();
	}

	// Guards against a late message of an old process that makes it live again or
	// hides the new process.
	@Example
	void lateMessagesOfOldRunAreIgnored() {
		beat(1, 90, false);
		beat(2, 1, false);
		assertThat(beat(1, 91, true)).isEmpty();
		assertThat(this.table.handleGossip(update(1, 92, false, true))).isEmpty();
		assertThat(this.table.members()).containsExactly(new MemberView(member("vm-1", 2), MemberState.LIVE, true));
	}

	// Guards against an absence reported by another daemon that overrides recent
	// heartbeats, and against one that cannot be refuted.
	@Example
	void freshHeartbeatRefutesAbsence() {
		beat(1, 5, false);
		assertThat(this.table.handleGossip(update(1, 5, false, true))).as("recent direct heartbeat").isEmpty();
		advance(2500);
		this.table.handleGossip(update(1, 5, false, true));
		assertThat(state()).isEqualTo(MemberState.ABSENT);
		assertThat(beat(1, 5, false)).as("repeated heartbeat").isEmpty();
		this.table.handleGossip(update(1, 6, false, false));
		assertThat(state()).isEqualTo(MemberState.LIVE);
		assertThat(this.table.handleGossip(update(1, 5, false, true))).as("outdated update").isEmpty();
	}

	// Guards against a member that gets new work after it has announced that it
	// leaves.
	@Example
	void leavingIsFinalForRun() {
		beat(1, 1, true);
		beat(1, 2, false);
		assertThat(state()).isEqualTo(MemberState.LEAVING);
		advance(5000);
		assertThat(state()).isEqualTo(MemberState.ABSENT);
		beat(2, 1, false);
		assertThat(state()).isEqualTo(MemberState.LIVE);
	}

	@Example
	void refutesWrongUpdatesAboutItself() {
		this.table.nextHeartbeat(true, false);
		this.table.handleGossip(new MemberUpdate(member("vm-0", 1), 7, true, false, true));
		assertThat(this.table.digest(10).get(0).heartbeat()).isEqualTo(8);
		this.table.handleGossip(new MemberUpdate(member("vm-0", 4), 1, true, false, false));
		assertThat(this.table.self().incarnation()).isEqualTo(5);
		assertThat(this.table.members()).isEmpty();
	}

	// Guards against members that become absent because they are not directly
	// connected.
	@Example
	void detachedMemberStaysLiveUntilIndirectTimeout() {
		beat(1, 1, false);
		this.table.detach(member("vm-1", 1));
		advance(60_000);
		assertThat(state()).isEqualTo(MemberState.LIVE);
		advance(60_000);
		assertThat(state()).isEqualTo(MemberState.ABSENT);
	}

	// Guards against digests that omit members or grow with the federation.
	@Example
	void digestsAreBoundedAndCoverAllMembers() {
		for (int i = 1; i <= 200; i++) {
			this.table.handleGossip(new MemberUpdate(member("vm-" + i, 1), 1, true, false, false));
		}
		Set<VmId> reported = new HashSet<>();
		for (int i = 0; i < 100; i++) {
			List<MemberUpdate> digest = this.table.digest(40);
			assertThat(digest).hasSizeLessThanOrEqualTo(40);
			digest.forEach((update) -> reported.add(update.member().vm()));
		}
		assertThat(reported).hasSize(201);
	}

	private MemberState state() {
		return this.table.members().get(0).state();
	}

	private void advance(long millis) {
		this.clock.advance(Duration.ofMillis(millis));
		this.table.tick();
	}

	private Optional<MemberChange> beat(long incarnation, long number, boolean leaving) {
		return this.table.handleHeartbeat(update(incarnation, number, leaving, false));
	}

	private static MemberUpdate update(long incarnation, long heartbeat, boolean leaving, boolean absent) {
		return new MemberUpdate(member("vm-1", incarnation), heartbeat, true, leaving, absent);
	}

	private static Member member(String vm, long incarnation) {
		return new Member(new VmId(vm), incarnation, new DataCentreId("dc"), new Address("127.0.0.1", 1),
				new Address("127.0.0.1", 2));
	}

}
