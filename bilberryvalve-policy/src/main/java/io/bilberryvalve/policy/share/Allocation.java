package io.bilberryvalve.policy.share;

import java.util.Map;

import io.bilberryvalve.model.ClubId;

/**
 * Immutable part of the federation's capacity that one entry may use.
 *
 * @param limit number of requests that may run at the same time, one stream each
 * @param overdraft streams beyond the limit, which only clubs below their guarantee may
 * use, so that their requests need not wait until another request ends
 * @param guarantees number of streams of each club at this entry below which it may use
 * the overdraft
 * @param rates token cost per second that clubs and teams are entitled to at this entry
 * @param tokensPerSecond tokens per second that the entry can expect for its limit, or 0
 * if not known
 */
public record Allocation(int limit, int overdraft, Map<ClubId, Double> guarantees, ShareRates rates,
		double tokensPerSecond) {

	/** No streams: no request may start. */
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
