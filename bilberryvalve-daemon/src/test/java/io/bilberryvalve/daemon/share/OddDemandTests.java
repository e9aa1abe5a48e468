package io.bilberryvalve.daemon.share;

import java.time.Duration;
import java.util.Random;

import io.bilberryvalve.daemon.configuration.ConfigurationHolder;
import io.bilberryvalve.daemon.peer.MessageKind;
import io.bilberryvalve.daemon.peer.PeerNetwork;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.model.clock.ManualClock;
import io.bilberryvalve.policy.share.Capacity;
import io.bilberryvalve.policy.share.QueueLimits;
import io.bilberryvalve.wire.proto.ClubDemand;
import io.bilberryvalve.wire.proto.DemandReport;
import io.bilberryvalve.wire.proto.TeamDemand;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

import static org.assertj.core.api.Assertions.assertThat;

class OddDemandTests {

	private static final int STREAMS = 40;

	// Guards against rounds of the admission that end with an exception, and against
	// limits out of range, whatever numbers a peer reports.
	@Property(tries = 200, seed = "91")
	void allocatesWhateverAPeerReports(@ForAll long seed) {
		Random random = new Random(seed);
		ManualClock clock = new ManualClock();
		SimulatedNetwork network = new SimulatedNetwork(clock, random);
		try (FairAdmission admission = new FairAdmission(new VmId("vm-0"), 1, () -> new Capacity(STREAMS, 1000),
				new ConfigurationHolder(), network.join(new VmId("vm-0")), QueueLimits.defaults(), clock)) {
			PeerNetwork peer = network.join(new VmId("vm-1"));
			for (int i = 0; i < 20; i++) {
				admission.admit(new AdmissionControl.AdmissionRequest(new ClubId("a"), new TeamId("t"), 10, 0,
						Duration.ofSeconds(5)));
				peer.broadcast(MessageKind.DEMAND, oddReport(random).toByteArray());
				clock.advance(Duration.ofMillis(250));
				network.deliver();
				admission.tick();
				assertThat(admission.status().limit()).isBetween(0, STREAMS);
			}
		}
	}

	private static DemandReport oddReport(Random random) {
		DemandReport.Builder report = DemandReport.newBuilder()
			.setOrigin("vm-1")
			.setIncarnation(random.nextBoolean() ? 1 : random.nextLong())
			.setSequence(random.nextLong())
			.setEntries(random.nextInt())
			.setHeld(number(random))
			.setUnchanged(random.nextInt(8) == 0);
		for (int i = 0; i < random.nextInt(4); i++) {
			ClubDemand.Builder club = ClubDemand.newBuilder()
				.setClub("abc".substring(random.nextInt(3)))
				.setStreams(fraction(random));
			for (int j = 0; j < random.nextInt(4); j++) {
				club.addTeams(TeamDemand.newBuilder()
					.setTeam("t")
					.setWaitingCost(number(random))
					.setRunningCost(number(random))
					.setWaiting(number(random))
					.setRunning(number(random))
					.setRefused(fraction(random))
					.setRecentCost(fraction(random))
					.setRecentStreamSeconds(fraction(random)));
			}
			report.addClubs(club);
		}
		return report.build();
	}

	private static int number(Random random) {
		return switch (random.nextInt(4)) {
			case 0 -> Integer.MAX_VALUE;
			case 1 -> Integer.MIN_VALUE;
			case 2 -> random.nextInt();
			default -> random.nextInt(10);
		};
	}

	private static double fraction(Random random) {
		return switch (random.nextInt(5)) {
			case 0 -> Double.MAX_VALUE;
			case 1 -> Double.NaN;
			case 2 -> Double.NEGATIVE_INFINITY;
			case 3 -> Double.MIN_VALUE;
			default -> random.nextDouble();
		};
	}

}
