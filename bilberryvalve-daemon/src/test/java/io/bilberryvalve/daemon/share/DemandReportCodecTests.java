package io.bilberryvalve.daemon.share;

import java.time.Duration;
import java.util.List;

import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.share.ClubDemand;
import io.bilberryvalve.policy.share.EntryDemand;
import io.bilberryvalve.policy.share.TeamDemand;
import net.jqwik.api.Example;

import static org.assertj.core.api.Assertions.assertThat;

class DemandReportCodecTests {

	private static final VmId ORIGIN = new VmId("vm-1");

	private final ManualClock clock = new ManualClock();

	private final DemandReportCodec sender = new DemandReportCodec(this.clock);

	private final DemandReportCodec receiver = new DemandReportCodec(this.clock);

	// Guards against full reports at each exchange, which were most of the traffic
	// between
	// daemons.
	@Example
	void leavesOutUnchangedClubsAndRestoresThem() {
		byte[] full = send(demand(1, 1, 20));
		send(demand(1, 2, 20));
		send(demand(1, 3, 20));
		byte[] unchanged = send(demand(1, 4, 21));
		assertThat(unchanged.length).isLessThan(full.length / 2);
		this.receiver.decode(full);
		EntryDemand restored = this.receiver.decode(unchanged).orElseThrow();
		assertThat(restored.sequence()).isEqualTo(4);
		assertThat(restored.clubs()).isEqualTo(demand(1, 1, 20).clubs());
	}

	// Guards against a change of demand that is never reported to the other entries.
	@Example
	void sendsASignificantChangeAtOnce() {
		send(demand(1, 1, 20));
		byte[] changed = send(demand(1, 2, 40));
		assertThat(this.receiver.decode(changed).orElseThrow().clubs()).isEqualTo(demand(1, 2, 40).clubs());
	}

	// Guards against slow drift within the tolerance that is never reported, and against
	// a new peer that never receives the full report to which later ones refer.
	@Example
	void repeatsAFullReport() {
		send(demand(1, 1, 20));
		send(demand(1, 1, 20));
		send(demand(1, 1, 20));
		this.clock.advance(DemandReportCodec.FULL_REPORT_INTERVAL.minus(Duration.ofMillis(1)));
		assertThat(this.receiver.decode(send(demand(1, 2, 20)))).isEmpty();
		this.clock.advance(Duration.ofMillis(1));
		assertThat(this.receiver.decode(send(demand(1, 3, 20)))).isPresent();
	}

	// Guards against the loss of a single report after a change: other entries would
	// compute their shares from the demand before the change.
	@Example
	void repeatsAChangedReport() {
		this.receiver.decode(send(demand(1, 1, 20)));
		send(demand(1, 2, 40));
		EntryDemand repeated = this.receiver.decode(send(demand(1, 3, 40))).orElseThrow();
		assertThat(repeated.clubs()).isEqualTo(demand(1, 3, 40).clubs());
	}

	// Guards against a report without clubs from a restarted entry that is completed with
	// the clubs from before the restart.
	@Example
	void doesNotMixIncarnations() {
		this.receiver.decode(send(demand(1, 1, 20)));
		send(demand(2, 1, 20));
		send(demand(2, 2, 20));
		byte[] restarted = send(demand(2, 3, 20));
		assertThat(this.receiver.decode(restarted)).isEmpty();
	}

	// Guards against reports without clubs that are completed with an earlier full
	// report,
	// which arrived late.
	@Example
	void lateFullReportDoesNotReplaceALaterOne() {
		byte[] late = send(demand(1, 1, 20));
		this.receiver.decode(send(demand(1, 2, 40)));
		this.receiver.decode(late);
		send(demand(1, 3, 40));
		send(demand(1, 4, 40));
		EntryDemand restored = this.receiver.decode(send(demand(1, 5, 40))).orElseThrow();
		assertThat(restored.clubs()).isEqualTo(demand(1, 2, 40).clubs());
	}

	private byte[] send(EntryDemand demand) {
		return this.sender.encode(this.sender.nextReportedDemand(demand));
	}

	private static EntryDemand demand(long incarnation, long sequence, int running) {
		TeamDemand team = new TeamDemand(new TeamId("shops"), 1000, 2000, 3, running, 0, 100, 10);
		ClubDemand club = new ClubDemand(new ClubId("pavio"), running, List.of(team));
		return new EntryDemand(ORIGIN, incarnation, sequence, 5, List.of(club));
	}

}
