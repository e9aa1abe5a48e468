package io.bilberryvalve.policy.membership;

/**
 * State of a member as one daemon sees it.
 */
public enum MemberState {

	/** Heartbeats arrive. */
	LIVE,

	/** Heartbeats are overdue. */
	SUSPECT,

	/** The member is leaving and gets no new work. */
	LEAVING,

	/** The member has not been heard for the absence limit. */
	ABSENT

}
