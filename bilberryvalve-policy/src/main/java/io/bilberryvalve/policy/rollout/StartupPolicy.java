package io.bilberryvalve.policy.rollout;

import java.util.List;
import java.util.OptionalLong;

/**
 * Decides whether the configuration of a newly started daemon is recent enough to serve
 * requests.
 */
public final class StartupPolicy {

	private StartupPolicy() {
	}

	/**
	 * Decides after the store and the reachable peers were asked for their versions. A
	 * daemon may serve if it has the version of the store and of all peers that answered
	 * or, in an outage of the store, the highest version of the peers. A version 0 from a
	 * peer counts for nothing, because the peer may be starting as well.
	 * @param inForce version in force at this daemon
	 * @param store version in the store, or empty if the store did not answer
	 * @param peers versions of the peers that answered
	 * @return whether the daemon may serve
	 */
	public static boolean mayServe(long inForce, OptionalLong store, List<Long> peers) {
		long highest = peers.stream().mapToLong(Long::longValue).max().orElse(0);
		if (store.isPresent()) {
			return inForce >= Math.max(store.getAsLong(), highest);
		}
		return highest > 0 && inForce >= highest;
	}

}
