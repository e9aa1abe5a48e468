package io.bilberryvalve.policy.membership;

import org.jspecify.annotations.Nullable;

/**
 * A change in the member table.
 *
 * @param member the member
 * @param before its former state, or {@code null} if this run was not known
 * @param after its new state
 */
public record MemberChange(Member member, @Nullable MemberState before, MemberState after) {

}
