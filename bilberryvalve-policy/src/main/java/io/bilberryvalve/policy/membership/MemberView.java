package io.bilberryvalve.policy.membership;

/**
 * A member with its state.
 *
 * @param member the member
 * @param state its state
 */
public record MemberView(Member member, MemberState state) {

	/**
	 * Returns whether the member may get new work.
	 * @return whether it is live or only suspect
	 */
	public boolean available() {
		return this.state == MemberState.LIVE || this.state == MemberState.SUSPECT;
	}

}
