package io.bilberryvalve.policy.membership;

import java.time.Duration;

/**
 * Time limits of membership.
 *
 * @param suspectAfter silence of a directly connected member until it is suspect
 * @param absentAfter silence of a directly connected member until it is absent
 * @param indirectAbsentAfter time without news of a member that is not directly connected
 * until it is absent; news of it pass over several daemons
 * @param removeAfter time after which an absent member is removed from the table
 */
public record MembershipTimeouts(Duration suspectAfter, Duration absentAfter, Duration indirectAbsentAfter,
		Duration removeAfter) {

	/**
	 * Returns the limits of production: 2 s, 5 s, 2 min and 10 min.
	 * @return the limits
	 */
	public static MembershipTimeouts defaults() {
		return new MembershipTimeouts(Duration.ofSeconds(2), Duration.ofSeconds(5), Duration.ofMinutes(2),
				Duration.ofMinutes(10));
	}

}
