package io.bilberryvalve.policy.share;

import java.util.Map;

import io.bilberryvalve.model.ClubId;

/**
 * What one entry may use.
 *
 * @param limit streams at the same time
 * @param clubs streams kept for each club; other clubs may use those that are left over
 * @param tokensPerSecond tokens per second that the entry can expect, or 0 if not known
 */
public record Allocation(int limit, Map<ClubId, Double> clubs, double tokensPerSecond) {

	/**
	 * Copies the map.
	 */
	public Allocation {
		clubs = Map.copyOf(clubs);
	}

	double club(ClubId club) {
		return this.clubs.getOrDefault(club, 0.0);
	}

}
