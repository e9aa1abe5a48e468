package io.bilberryvalve.policy.membership;

import org.jspecify.annotations.Nullable;

/**
 * Change of a member in the {@link MemberTable}.
 *
 * @param member member that changed
 * @param before former state, or {@code null} if this run of the daemon was not known
 * @param after new state, the same as before if only the readiness changed
 */
public record MemberChange(Member member, @Nullable MemberState before, MemberState after) {

}
