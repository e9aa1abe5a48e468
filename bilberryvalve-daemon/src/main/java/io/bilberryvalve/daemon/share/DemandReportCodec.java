package io.bilberryvalve.daemon.share;

import java.time.Clock;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.bilberryvalve.model.VmId;
import io.bilberryvalve.policy.share.ClubDemand;
import io.bilberryvalve.policy.share.EntryDemand;
import io.bilberryvalve.policy.share.TeamDemand;
import org.jspecify.annotations.Nullable;

/**
 * Encodes the demand reports of this entry and decodes those of other entries. A report
 * omits the clubs while their demand is close to that of the last full report, because
 * full reports to each peer at each exchange would be most of the traffic between
 * daemons. Full reports are repeated every {@link #FULL_REPORT_INTERVAL}, so that a new
 * peer, or one that lost a report, has to wait no longer than that for the demand.
 *
 * <p>
 * Not safe for use by several threads.
 */
final class DemandReportCodec {

	/**
	 * Longest time between two full reports. Well below 3 s, the time without reports
	 * after which an entry is treated as isolated.
	 */
	static final Duration FULL_REPORT_INTERVAL = Duration.ofSeconds(2);

	/** Additional full reports after a change, in case the first one is lost. */
	private static final int EXTRA_FULL_REPORTS = 2;

	/** Relative difference up to which a value counts as unchanged. */
	private static final double RELATIVE_TOLERANCE = 0.1;

	/** Absolute difference in streams up to which a value counts as unchanged. */
	private static final double STREAM_TOLERANCE = 0.5;

	/** Absolute difference in tokens up to which a cost counts as unchanged. */
	private static final double TOKEN_TOLERANCE = 64;

	private final Clock clock;

	private final Map<VmId, EntryDemand> lastFullReceived = new HashMap<>();

	private @Nullable EntryDemand lastFullSent;

	private long lastFullSentMillis;

	private int extraFullReports;

	private boolean omitClubs;

	DemandReportCodec(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the demand for the next report and decides whether that report is a full
	 * one. While the demand of the clubs is close to that of the last full report, the
	 * result repeats the clubs of that report: this entry must compute its share from the
	 * same numbers as the others, or the limits of all entries together would exceed the
	 * capacity. Must be called once for each report.
	 * @param demand current demand at this entry
	 * @return the demand to report and to compute this entry's share from
	 */
	EntryDemand nextReportedDemand(EntryDemand demand) {
		EntryDemand last = this.lastFullSent;
		long now = this.clock.millis();
		boolean same = last != null && close(last.clubs(), demand.clubs());
		boolean due = now - this.lastFullSentMillis >= FULL_REPORT_INTERVAL.toMillis();
		if (last != null && same && !due) {
			this.extraFullReports--;
			this.omitClubs = this.extraFullReports < 0;
			return new EntryDemand(demand.origin(), demand.incarnation(), demand.sequence(), demand.held(),
					last.clubs());
		}
		this.extraFullReports = same ? 0 : EXTRA_FULL_REPORTS;
		this.omitClubs = false;
		this.lastFullSent = demand;
		this.lastFullSentMillis = now;
		return demand;
	}

	/**
	 * Encodes the next report.
	 * @param reported the demand that {@link #nextReportedDemand} returned, with the
	 * sequence number of the report
	 * @return the message, as protobuf bytes
	 */
	byte[] encode(EntryDemand reported) {
		if (this.omitClubs) {
			return DemandMessages.encodeUnchanged(reported);
		}
		return DemandMessages.encode(reported);
	}

	/**
	 * Decodes a report of another entry.
	 * @param body the message, as protobuf bytes
	 * @return the demand with its clubs; empty if the report omits the clubs and no full
	 * report of the same run of the sender has arrived
	 * @throws IllegalArgumentException if the bytes are not a valid report
	 */
	Optional<EntryDemand> decode(byte[] body) {
		DemandMessages.DecodedReport received = DemandMessages.decode(body);
		EntryDemand demand = received.demand();
		if (!received.unchanged()) {
			// A report that was overtaken by a later one must not complete the next ones.
			this.lastFullReceived.merge(demand.origin(), demand, (known, next) -> known.newerThan(next) ? known : next);
			return Optional.of(demand);
		}
		EntryDemand base = this.lastFullReceived.get(demand.origin());
		if (base == null || base.incarnation() != demand.incarnation()) {
			return Optional.empty();
		}
		return Optional
			.of(new EntryDemand(demand.origin(), demand.incarnation(), demand.sequence(), demand.held(), base.clubs()));
	}

	/**
	 * Discards the reports of entries that are no longer members.
	 * @param members the VMs of the current members
	 */
	void retainMembers(List<VmId> members) {
		this.lastFullReceived.keySet().retainAll(members);
	}

	private static boolean close(List<ClubDemand> before, List<ClubDemand> after) {
		if (before.size() != after.size()) {
			return false;
		}
		for (int i = 0; i < before.size(); i++) {
			ClubDemand one = before.get(i);
			ClubDemand other = after.get(i);
			if (!one.club().equals(other.club()) || !close(one.streams(), other.streams(), STREAM_TOLERANCE)
					|| !closeTeams(one.teams(), other.teams())) {
				return false;
			}
		}
		return true;
	}

	private static boolean closeTeams(List<TeamDemand> before, List<TeamDemand> after) {
		if (before.size() != after.size()) {
			return false;
		}
		for (int i = 0; i < before.size(); i++) {
			if (!close(before.get(i), after.get(i))) {
				return false;
			}
		}
		return true;
	}

	private static boolean close(TeamDemand one, TeamDemand other) {
		return one.team().equals(other.team()) && close(one.waitingCost(), other.waitingCost(), TOKEN_TOLERANCE)
				&& close(one.runningCost(), other.runningCost(), TOKEN_TOLERANCE)
				&& close(one.waiting(), other.waiting(), STREAM_TOLERANCE)
				&& close(one.running(), other.running(), STREAM_TOLERANCE)
				&& close(one.refused(), other.refused(), STREAM_TOLERANCE)
				&& close(one.recentCost(), other.recentCost(), TOKEN_TOLERANCE)
				&& close(one.recentStreamSeconds(), other.recentStreamSeconds(), STREAM_TOLERANCE);
	}

	private static boolean close(double one, double other, double absolute) {
		return Math.abs(one - other) <= Math.max(absolute, RELATIVE_TOLERANCE * Math.max(one, other));
	}

}
