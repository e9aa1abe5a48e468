package io.bilberryvalve.policy.membership;

import java.time.Duration;

/**
 * Timeouts after which a silent member changes its state.
 *
 * @param suspectAfter silence after which a directly connected member is suspect
 * @param absentAfter silence after which a directly connected member is absent
 * @param indirectAbsentAfter time without updates after which a member that is not
 * directly connected is absent; it is longer because updates about it are passed on by
 * several daemons
 * @param removeAfter silence after which a member is removed from the table
 */
public record MembershipTimeouts(Duration suspectAfter, Duration absentAfter, Duration indirectAbsentAfter,
		Duration removeAfter) {

	/**
	 * Returns the timeouts used by a daemon.
	 * @return timeouts of 2 s, 5 s, 2 min and 10 min
	 */
	public static MembershipTimeouts defaults() {
		return new MembershipTimeouts(Duration.ofSeconds(2), Duration.ofSeconds(5), Duration.ofMinutes(2),
				Duration.ofMinutes(10));
	}

}
