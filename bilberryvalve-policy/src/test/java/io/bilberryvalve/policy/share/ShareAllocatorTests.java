package io.bilberryvalve.policy.share;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class ShareAllocatorTests {

	private static final VmId SELF = new VmId("vm-0");

	private static final VmId OTHER = new VmId("vm-1");

	private static final Capacity CAPACITY = new Capacity(100, 1000);

	private static final ShareWeights WEIGHTS = new ShareWeights(Map.of(new ClubId("a"), 50.0), Map.of());

	private final ManualClock clock = new ManualClock();

	private final ShareAllocator allocator = new ShareAllocator(SELF, this.clock);

	@Example
	void onlyEntryUsesWholeCapacity() {
		assertThat(allocate(List.of(), 5)).isEqualTo(100);
	}

	// Guards against a limit that is raised by streams that another entry still holds.
	@Example
	void raisesLimitOnlyByReleasedStreams() {
		report(1, 1, 100, 0);
		assertThat(allocate(others(false), 500)).isZero();
		report(1, 2, 40, 0);
		assertThat(allocate(others(false), 500)).isBetween(55, 60);
	}

	// Guards against the use of repeated, reordered or old reports, and against ignoring
	// the first reports of a restarted entry, whose sequence starts again.
	@Example
	void ignoresOldReportsAndAcceptsNewRun() {
		assertThat(report(1, 5, 10, 0)).isTrue();
		assertThat(report(1, 5, 90, 0)).as("repeated").isFalse();
		assertThat(report(1, 4, 90, 0)).as("reordered").isFalse();
		assertThat(report(2, 1, 10, 0)).as("new run").isTrue();
		assertThat(report(1, 6, 90, 0)).as("old run").isFalse();
		assertThat(this.allocator.report(demand(SELF, 1, 9, 0, 0))).as("own report").isFalse();
	}

	@Example
	void usesSafeShareAfterThreeSecondsWithoutReports() {
		report(1, 1, 2, 0);
		int limit = allocate(others(false), 500);
		assertThat(limit).isGreaterThan(90);
		this.clock.advance(Duration.ofMillis(2999));
		assertThat(allocate(others(false), 500)).isEqualTo(limit);
		this.clock.advance(Duration.ofMillis(1));
		assertThat(allocate(others(false), 500)).isEqualTo(50);
		assertThat(this.allocator.isolated()).isTrue();
	}

	// Guards against a share that stays unused after its entry is lost.
	@Example
	void takesOverShareOfAbsentEntryAfterRetention() {
		allocate(others(true), 500);
		this.clock.advance(Duration.ofSeconds(4));
		assertThat(allocate(others(true), 500)).isEqualTo(50);
		this.clock.advance(ShareAllocator.ABSENT_SHARE_RETENTION);
		assertThat(allocate(others(true), 500)).isEqualTo(100);
	}

	private int allocate(List<KnownEntry> others, int streams) {
		return this.allocator.allocate(CAPACITY, WEIGHTS, others, demand(SELF, 1, 1, 0, streams)).limit();
	}

	private boolean report(long incarnation, long sequence, int held, int streams) {
		return this.allocator.report(demand(OTHER, incarnation, sequence, held, streams));
	}

	private static List<KnownEntry> others(boolean absent) {
		return List.of(new KnownEntry(OTHER, absent));
	}

	private static EntryDemand demand(VmId vm, long incarnation, long sequence, int held, int streams) {
		TeamDemand team = new TeamDemand(new TeamId("t"), streams, 0, streams, 0, 0, 0, 0);
		return new EntryDemand(vm, incarnation, sequence, held,
				List.of(new ClubDemand(new ClubId("a"), streams, List.of(team))));
	}

}
