package io.bilberryvalve.policy.lease;

/**
 * A lease as stored in the table service.
 *
 * @param holder incarnation of the daemon that holds the lease, empty if it was released
 * @param fencing fencing number of the last grant
 */
public record Lease(String holder, FencingNumber fencing) {

	/**
	 * Returns whether the holder has released the lease.
	 * @return whether the lease has no holder
	 */
	public boolean released() {
		return this.holder.isEmpty();
	}

}
