package io.bilberryvalve.policy.share;

import java.util.Map;

import io.bilberryvalve.model.ClubId;

/**
 * What one entry may use.
 *
 * @param limit streams at the same time
 * @param overdraft further streams that only clubs below their guarantee may start, so
 * that they need not wait until another request ends
 * @param guarantees streams at this entry up to which a club may use the overdraft
 * @param rates token cost per second that the clubs and teams are to get here
 * @param tokensPerSecond tokens per second that the entry can expect, or 0 if not known
 */
public record Allocation(int limit, int overdraft, Map<ClubId, Double> guarantees, ShareRates rates,
		double tokensPerSecond) {

	/** Permits nothing. */
	public static final Allocation NONE = new Allocation(0, 0, Map.of(), ShareRates.NONE, 0);

	/**
	 * Copies the map.
	 */
	public Allocation {
		guarantees = Map.copyOf(guarantees);
	}

	double guarantee(ClubId club) {
		return this.guarantees.getOrDefault(club, 0.0);
	}

}
