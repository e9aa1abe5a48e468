package io.bilberryvalve.policy.membership;

/**
 * State of a member from the point of view of one daemon.
 */
public enum MemberState {

	/** Heartbeats of the member, or updates about it, arrive in time. */
	LIVE,

	/** Heartbeats of a directly connected member are overdue. */
	SUSPECT,

	/** The member is leaving and gets no new work. */
	LEAVING,

	/**
	 * Nothing was heard of the member for the absence timeout, or another daemon reported
	 * it absent.
	 */
	ABSENT

}
