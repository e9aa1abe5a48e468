package io.bilberryvalve.policy.membership;

/**
 * Gossip about one member, sent by one daemon to another.
 *
 * @param member member that the update is about
 * @param heartbeat highest heartbeat number of the member that the sender knows
 * @param ready whether the member has been ready for callers
 * @param leaving whether the member has announced that it leaves
 * @param absent whether the sender has considered the member absent since that heartbeat
 */
public record MemberUpdate(Member member, long heartbeat, boolean ready, boolean leaving, boolean absent) {

}
