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
 * a lost report cost at most {@link #REPEAT}.
 *
 * <p>
 * Not safe for use by several threads.
 */
final class DemandReports {

	/** Longest time between two full reports; well below the isolation limit of 3 s. */
	static final Duration REPEAT = Duration.ofSeconds(2);

	// Full reports go on for this long after a change. If the only full report of a
	// change
	// is lost, other entries take the old demand for the current one and raise their
	// limits.
	static final Duration SETTLED = Duration.ofSeconds(1);

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

	private long changedMillis;

	DemandReports(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Writes the next report.
	 * @param demand demand at this entry
	 * @return protobuf bytes
	 */
	byte[] write(EntryDemand demand) {
		EntryDemand last = this.sent;
		long now = this.clock.millis();
		boolean same = last != null && close(last.clubs(), demand.clubs());
		if (!same) {
			this.changedMillis = now;
		}
		if (same && now - this.sentMillis < REPEAT.toMillis() && now - this.changedMillis >= SETTLED.toMillis()) {
			return DemandMessages.writeUnchanged(demand);
		}
		this.sent = demand;
		this.sentMillis = now;
		return DemandMessages.write(demand);
	}

	/**
	 * Reads a report.
	 * @param body protobuf bytes
	 * @return the demand; empty if the report refers to a full one that did not arrive
	 * @throws IllegalArgumentException if the bytes are not a valid report
	 */
	Optional<EntryDemand> read(byte[] body) {
		DemandMessages.Received received = DemandMessages.read(body);
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
	void retain(List<VmId> members) {
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
