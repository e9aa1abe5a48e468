package io.bilberryvalve.policy.share;

import java.util.List;

import io.bilberryvalve.model.ClubId;

/**
 * Demand of a club at one entry, part of an {@link EntryDemand}.
 *
 * @param club the club that the demand belongs to
 * @param streams streams that the club needs: one for each request that runs, waits or
 * was refused recently. If no request waits, at least the peak of the last second, so
 * that the next request finds a free stream
 * @param teams demand of its teams
 */
public record ClubDemand(ClubId club, double streams, List<TeamDemand> teams) {

	/**
	 * Copies the list.
	 */
	public ClubDemand {
		teams = List.copyOf(teams);
	}

}
