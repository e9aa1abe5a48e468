package io.bilberryvalve.policy.membership;

/**
 * A member with its state.
 *
 * @param member the member
 * @param state its state
 * @param ready whether it has been ready for callers
 */
public record MemberView(Member member, MemberState state, boolean ready) {

	/**
	 * Returns whether the member may get new work.
	 * @return whether it is ready and live or only suspect
	 */
	public boolean available() {
		return this.ready && (this.state == MemberState.LIVE || this.state == MemberState.SUSPECT);
	}

}
