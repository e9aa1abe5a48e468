package io.bilberryvalve.policy.membership;

/**
 * What one daemon tells another about a member.
 *
 * @param member the member
 * @param heartbeat highest heartbeat known to the teller
 * @param ready whether the member has been ready for callers
 * @param leaving whether the member has announced that it leaves
 * @param absent whether the teller has lost the member after that heartbeat
 */
public record MemberUpdate(Member member, long heartbeat, boolean ready, boolean leaving, boolean absent) {

}
