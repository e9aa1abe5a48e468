package io.bilberryvalve.daemon.share;

import com.google.protobuf.InvalidProtocolBufferException;
import io.bilberryvalve.model.ClubId;
import io.bilberryvalve.model.TeamId;
import io.bilberryvalve.model.VmId;
import io.bilberryvalve.policy.share.ClubDemand;
import io.bilberryvalve.policy.share.EntryDemand;
import io.bilberryvalve.policy.share.TeamDemand;
import io.bilberryvalve.wire.proto.DemandReport;

/**
 * Encodes the demand of an entry as a protobuf message and decodes it. Negative and
 * non-finite numbers in a received message are replaced by 0.
 */
final class DemandMessages {

	private DemandMessages() {
	}

	static byte[] encode(EntryDemand demand) {
		DemandReport.Builder report = header(demand);
		demand.clubs().forEach((club) -> report.addClubs(encode(club)));
		return report.build().toByteArray();
	}

	static byte[] encodeUnchanged(EntryDemand demand) {
		return header(demand).setUnchanged(true).build().toByteArray();
	}

	private static DemandReport.Builder header(EntryDemand demand) {
		return DemandReport.newBuilder()
			.setOrigin(demand.origin().value())
			.setIncarnation(demand.incarnation())
			.setSequence(demand.sequence())
			.setEntries(1)
			.setHeld(demand.held());
	}

	/**
	 * Decodes a report.
	 * @param body the message, as protobuf bytes
	 * @return the report; its clubs are empty if they have not changed
	 * @throws IllegalArgumentException if the bytes are not a valid report
	 */
	static DecodedReport decode(byte[] body) {
		DemandReport report;
		try {
			report = DemandReport.parseFrom(body);
		}
		catch (InvalidProtocolBufferException ex) {
			throw new IllegalArgumentException(
					"the demand report is not valid protobuf; compare the versions of both entries", ex);
		}
		EntryDemand demand = new EntryDemand(new VmId(report.getOrigin()), report.getIncarnation(),
				report.getSequence(), Math.max(0, report.getHeld()),
				report.getClubsList().stream().map(DemandMessages::decode).toList());
		return new DecodedReport(demand, report.getUnchanged());
	}

	private static io.bilberryvalve.wire.proto.ClubDemand encode(ClubDemand club) {
		var message = io.bilberryvalve.wire.proto.ClubDemand.newBuilder()
			.setClub(club.club().value())
			.setStreams(club.streams());
		for (TeamDemand team : club.teams()) {
			message.addTeams(io.bilberryvalve.wire.proto.TeamDemand.newBuilder()
				.setTeam(team.team().value())
				.setWaitingCost(team.waitingCost())
				.setRunningCost(team.runningCost())
				.setWaiting(team.waiting())
				.setRunning(team.running())
				.setRefused(team.refused())
				.setRecentCost(team.recentCost())
				.setRecentStreamSeconds(team.recentStreamSeconds()));
		}
		return message.build();
	}

	private static ClubDemand decode(io.bilberryvalve.wire.proto.ClubDemand club) {
		return new ClubDemand(new ClubId(club.getClub()), finite(club.getStreams()),
				club.getTeamsList().stream().map(DemandMessages::decode).toList());
	}

	private static TeamDemand decode(io.bilberryvalve.wire.proto.TeamDemand team) {
		return new TeamDemand(new TeamId(team.getTeam()), Math.max(0, team.getWaitingCost()),
				Math.max(0, team.getRunningCost()), Math.max(0, team.getWaiting()), Math.max(0, team.getRunning()),
				finite(team.getRefused()), finite(team.getRecentCost()), finite(team.getRecentStreamSeconds()));
	}

	private static double finite(double value) {
		return Double.isFinite(value) ? Math.max(0, value) : 0;
	}

	/**
	 * A decoded report.
	 *
	 * @param demand demand of the sender; its clubs are empty if {@code unchanged} is set
	 * @param unchanged whether the clubs of the sender's last full report still apply
	 */
	record DecodedReport(EntryDemand demand, boolean unchanged) {

	}

}
