package io.bilberryvalve.policy.lease;

/**
 * A lease as stored.
 *
 * @param holder incarnation of the daemon that holds it, empty if it was released
 * @param fencing number of the grant
 */
public record Lease(String holder, FencingNumber fencing) {

	/**
	 * Tells whether the holder gave the lease up.
	 * @return whether it was released
	 */
	public boolean released() {
		return this.holder.isEmpty();
	}

}
