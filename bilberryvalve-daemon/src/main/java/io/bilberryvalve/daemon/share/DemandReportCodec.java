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
 * Writes and reads demand reports. A report whose demand is close to that of the last
 * full one leaves the clubs out, because full reports to each peer at each exchange are
 * most of the traffic between daemons. Full reports are repeated, so that a new peer and
 * a lost report cost at most {@link #FULL_REPORT_INTERVAL}.
 *
 * <p>
 * Not safe for use by several threads.
 */
final class DemandReportCodec {

	/** Longest time between two full reports; well below the isolation limit of 3 s. */
	static final Duration FULL_REPORT_INTERVAL = Duration.ofSeconds(2);

	/** Full reports after a change beyond the first, in case one is lost. */
	private static final int COPIES = 2;

	/** Relative difference up to which a demand counts as unchanged. */
	private static final double TOLERANCE = 0.1;

	/** Absolute difference of streams up to which a demand counts as unchanged. */
	private static final double STREAMS = 0.5;

	/** Absolute difference of token cost up to which a demand counts as unchanged. */
	private static final double COST = 64;

	private final Clock clock;

	private final Map<VmId, EntryDemand> full = new HashMap<>();

	private @Nullable EntryDemand sent;

	private long sentMillis;

	private int copies;

	private boolean unchanged;

	DemandReportCodec(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Returns the demand that the next report will state. While the demand is close to
	 * that of the last full report, this is the one of that report: this entry must
	 * compute its share from the same numbers as the others, or the limits together
	 * exceed the capacity.
	 * @param demand demand at this entry
	 * @return the demand to compute with and to report
	 */
	EntryDemand nextReportedDemand(EntryDemand demand) {
		EntryDemand last = this.sent;
		long now = this.clock.millis();
		boolean same = last != null && close(last.clubs(), demand.clubs());
		boolean due = now - this.sentMillis >= FULL_REPORT_INTERVAL.toMillis();
		if (last != null && same && !due) {
			this.copies--;
			this.unchanged = this.copies < 0;
			return new EntryDemand(demand.origin(), demand.incarnation(), demand.sequence(), demand.held(),
					last.clubs());
		}
		this.copies = same ? 0 : COPIES;
		this.unchanged = false;
		this.sent = demand;
		this.sentMillis = now;
		return demand;
	}

	/**
	 * Writes the next report.
	 * @param settled the demand from {@link #nextReportedDemand}, with the number of the
	 * report
	 * @return protobuf bytes
	 */
	byte[] encode(EntryDemand settled) {
		if (this.unchanged) {
			return DemandMessages.encodeUnchanged(settled);
		}
		return DemandMessages.encode(settled);
	}

	/**
	 * Reads a report.
	 * @param body protobuf bytes
	 * @return the demand; empty if the report refers to a full one that did not arrive
	 * @throws IllegalArgumentException if the bytes are not a valid report
	 */
	Optional<EntryDemand> decode(byte[] body) {
		DemandMessages.DecodedReport received = DemandMessages.decode(body);
		EntryDemand demand = received.demand();
		if (!received.unchanged()) {
			this.full.put(demand.origin(), demand);
			return Optional.of(demand);
		}
		EntryDemand base = this.full.get(demand.origin());
		if (base == null || base.incarnation() != demand.incarnation()) {
			return Optional.empty();
		}
		return Optional
			.of(new EntryDemand(demand.origin(), demand.incarnation(), demand.sequence(), demand.held(), base.clubs()));
	}

	/**
	 * Forgets the reports of entries that are no longer members.
	 * @param members the members
	 */
	void retainMembers(List<VmId> members) {
		this.full.keySet().retainAll(members);
	}

	private static boolean close(List<ClubDemand> before, List<ClubDemand> after) {
		if (before.size() != after.size()) {
			return false;
		}
		for (int i = 0; i < before.size(); i++) {
			ClubDemand one = before.get(i);
			ClubDemand other = after.get(i);
			if (!one.club().equals(other.club()) || !close(one.streams(), other.streams(), STREAMS)
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
		return one.team().equals(other.team()) && close(one.waitingCost(), other.waitingCost(), COST)
				&& close(one.runningCost(), other.runningCost(), COST) && close(one.waiting(), other.waiting(), STREAMS)
				&& close(one.running(), other.running(), STREAMS) && close(one.refused(), other.refused(), STREAMS)
				&& close(one.recentCost(), other.recentCost(), COST)
				&& close(one.recentStreamSeconds(), other.recentStreamSeconds(), STREAMS);
	}

	private static boolean close(double one, double other, double absolute) {
		return Math.abs(one - other) <= Math.max(absolute, TOLERANCE * Math.max(one, other));
	}

}
