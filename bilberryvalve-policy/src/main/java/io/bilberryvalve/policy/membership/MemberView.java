package io.bilberryvalve.policy.membership;

/**
 * Snapshot of a member and its state.
 *
 * @param member one run of a daemon
 * @param state state of the member from the point of view of this daemon
 * @param ready whether the member has been ready for callers
 */
public record MemberView(Member member, MemberState state, boolean ready) {

	/**
	 * Returns whether the member may get new work.
	 * @return whether the member is ready, and live or suspect
	 */
	public boolean available() {
		return this.ready && (this.state == MemberState.LIVE || this.state == MemberState.SUSPECT);
	}

}
